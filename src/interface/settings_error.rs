//! Errors of invalid settings.

use thiserror::Error;

/// An invalid field of the settings.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("settings: {field} {problem}")]
pub struct SettingsError {
    /// The field, by its name in the platform's settings.
    pub field: String,
    /// Why the value of the field is invalid.
    pub problem: SettingsProblem,
}

/// Why the value of a field is invalid. Its text follows the name of the field in [`SettingsError`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SettingsProblem {
    /// A list that needs at least one element is empty.
    #[error("must have at least one element")]
    Missing,
    /// A number that must be at least 1 is zero.
    #[error("is 0 and must be at least 1")]
    Zero,
    /// A number that must be finite and not negative is negative, infinite or not a number.
    #[error("must be a finite number and not negative")]
    NegativeOrNotFinite,
    /// A string is not one of the values that the field can have.
    #[error("has an unknown value")]
    UnknownValue,
}

impl SettingsError {
    /// The error of `field`, which is its name in the platform's settings.
    pub fn new(field: impl Into<String>, problem: SettingsProblem) -> SettingsError {
        SettingsError { field: field.into(), problem }
    }
}
