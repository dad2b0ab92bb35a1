//! Errors of mapping files, with the location of the invalid value.

use regex::Regex;
use std::fmt::Display;
use toml::Spanned;

/// Why a mapping file is not valid.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}: {location}{problem}")]
pub struct MappingError {
    /// The file's path, or the name that was passed to [`Mapping::parse`](super::Mapping::parse).
    pub file: String,
    /// Line and key as a prefix of the problem, such as `line 12: rule[2].path: `. Lines are counted from 1;
    /// unknown parts are left out.
    pub location: String,
    /// Why the value is not valid.
    pub problem: String,
}

impl MappingError {
    /// Builds an error about a file as a whole.
    pub(super) fn of_file(file: &str, problem: impl Display) -> MappingError {
        MappingError { file: file.to_string(), location: String::new(), problem: problem.to_string() }
    }
}

/// The text of a mapping file, in which the spans of values are converted to line numbers for errors.
pub(super) struct Source<'a> {
    pub file: &'a str,
    pub text: &'a str,
}

impl Source<'_> {
    /// Builds an error about a value in the file.
    pub fn error_at<T>(&self, value: &Spanned<T>, key: impl Display, problem: impl Display) -> MappingError {
        self.error(Some(value), key, problem)
    }

    /// Builds an error about a key that the file lacks.
    pub fn error_without_line(&self, key: impl Display, problem: impl Display) -> MappingError {
        self.error(None::<&Spanned<()>>, key, problem)
    }

    /// Builds an error about a value, without a line if the file lacks it.
    pub fn error<T>(
        &self,
        value: Option<&Spanned<T>>,
        key: impl Display,
        problem: impl Display,
    ) -> MappingError {
        let line = value.map_or(String::new(), |value| format!("line {}: ", self.line(value)));
        MappingError {
            file: self.file.to_string(),
            location: format!("{line}{key}: "),
            problem: problem.to_string(),
        }
    }

    fn line<T>(&self, value: &Spanned<T>) -> usize {
        self.text[..value.span().start].matches('\n').count() + 1
    }

    /// Compiles a pattern. The error has the key and the last line of the parser's message.
    pub fn regex(&self, pattern: &Spanned<String>, key: impl Display) -> Result<Regex, MappingError> {
        Regex::new(pattern.get_ref()).map_err(|error| {
            let message = error.to_string();
            let reason = message.lines().last().unwrap_or_default().trim().trim_start_matches("error: ");
            self.error_at(pattern, key, format!("{:?}: {reason}", pattern.get_ref()))
        })
    }
}
