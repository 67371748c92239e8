//! The errors of a configuration file, with their locations.

use crate::limits::MAX_FILE_SIZE;
use std::fmt;

#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{file}{}: {}{problem}", .line.map(|line| format!(":{line}")).unwrap_or_default(),
    .key.as_ref().map(|key| format!("{key}: ")).unwrap_or_default())]
/// One error of a file, with its location.
pub struct ConfigError {
    /// The file.
    pub file: String,
    /// The line, from 1, if it is known.
    pub line: Option<usize>,
    /// The key with its parent keys, if the error concerns one.
    pub key: Option<String>,
    /// The problem.
    pub problem: ConfigProblem,
}

/// The problem of a file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigProblem {
    /// The file cannot be read.
    #[error("{0}")]
    Unreadable(String),
    /// It is not a regular file, or too large.
    #[error("not a file of at most {MAX_FILE_SIZE} bytes")]
    NotAFileWithinLimit,
    /// The script has a syntax error, fails, or exceeds a limit.
    #[error("{0}")]
    Script(String),
    /// The script does not set the name.
    #[error("not set")]
    NotSet,
    /// The value is not a dict.
    #[error("not a dict")]
    NotADict,
    /// The value does not match the schema.
    #[error("{0}")]
    Invalid(String),
}

/// All errors of a file: at least one.
#[derive(Debug, thiserror::Error)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl From<ConfigError> for ConfigErrors {
    fn from(error: ConfigError) -> Self {
        ConfigErrors(vec![error])
    }
}

impl fmt::Display for ConfigErrors {
    /// One error per line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ConfigError::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

/// Why a `load` in a script failed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum LoadError {
    /// It does not name a file in the script's own folder.
    #[error("load of '{0}': only files in the same folder, by name")]
    OutsideFolder(String),
    /// Loads are nested too deeply, or there are too many in total.
    #[error("load of '{0}': too many loads, or loads in a circle")]
    TooManyLoads(String),
    /// The loaded file has an error.
    #[error(transparent)]
    File(#[from] ConfigError),
}
