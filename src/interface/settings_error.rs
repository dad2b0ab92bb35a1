//! Why settings cannot be used.

use thiserror::Error;

/// Settings that cannot be used: the field, and what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("settings: {field} {problem}")]
pub struct SettingsError {
    /// The field, by its name in the platform's settings.
    pub field: String,
    /// What is wrong with it.
    pub problem: SettingsProblem,
}

/// What is wrong with a field of the settings. Its text follows the field's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SettingsProblem {
    /// A list that needs an element has none.
    #[error("are missing")]
    Missing,
    /// A number that must be positive is zero.
    #[error("is zero")]
    Zero,
    /// A number is negative, infinite or no number.
    #[error("is negative or not finite")]
    NegativeOrNotFinite,
    /// A word that is not one of those allowed.
    #[error("holds an unknown word")]
    UnknownWord,
}

impl SettingsError {
    /// A problem of a field.
    pub fn new(field: impl Into<String>, problem: SettingsProblem) -> SettingsError {
        SettingsError { field: field.into(), problem }
    }
}
