//! What is wrong with a configuration file, and where.

use crate::script::MAX_FILE_SIZE;
use std::fmt;

#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{file}{}: {}{problem}", .line.map(|line| format!(":{line}")).unwrap_or_default(),
    .key.as_ref().map(|key| format!("{key}: ")).unwrap_or_default())]
/// One error in a file, with the place where it was found.
pub struct ConfigError {
    /// The file that holds it.
    pub file: String,
    /// Its line, from 1, where it is known.
    pub line: Option<usize>,
    /// The key that it is about, with the keys around it, where it is about one.
    pub key: Option<String>,
    /// What is wrong.
    pub problem: ConfigProblem,
}

/// What is wrong with a file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigProblem {
    /// The file cannot be read.
    #[error("{0}")]
    Unreadable(String),
    /// It is no regular file, or too large.
    #[error("no file of at most {MAX_FILE_SIZE} bytes")]
    NotAFileWithinLimit,
    /// The script has a syntax error, fails, or exceeds a limit.
    #[error("{0}")]
    Script(String),
    /// The script does not set the name.
    #[error("not set")]
    NotSet,
    /// The value is no dict.
    #[error("no dict")]
    NotADict,
    /// The value does not fit the schema.
    #[error("{0}")]
    Invalid(String),
}

/// All errors that were found in a file: at least one.
#[derive(Debug, thiserror::Error)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl From<ConfigError> for ConfigErrors {
    fn from(error: ConfigError) -> Self {
        ConfigErrors(vec![error])
    }
}

impl fmt::Display for ConfigErrors {
    /// One error a line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ConfigError::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

/// Why a `load` in a script failed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum LoadError {
    /// It names no file of the script's own folder.
    #[error("load of '{0}': only files in the same folder, by name")]
    OutsideFolder(String),
    /// Loads are nested too deeply, or there are too many in all.
    #[error("load of '{0}': too many loads, or in a circle")]
    TooManyLoads(String),
    /// The loaded file has an error.
    #[error(transparent)]
    File(#[from] ConfigError),
}
