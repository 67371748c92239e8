//! Errors in configuration files, with their locations.

use crate::limits::{MAX_FILE_BYTES, MAX_LOAD_DEPTH, MAX_LOADS};
use std::fmt;

/// An error in a configuration file. Its text begins with the file, the line and the key.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{}{problem}", self.location())]
pub struct ConfigError {
    /// Path of the file that contains the error: the configuration file or one that it loads.
    pub file: String,
    /// Number of the line, from 1; `None` if unknown.
    pub line: Option<usize>,
    /// Path of the key, for example `control.xds.listen`; `None` if the error does not concern a key.
    pub key: Option<String>,
    /// What was expected, and what was found.
    pub problem: ConfigProblem,
}

impl ConfigError {
    fn location(&self) -> String {
        let line = self.line.map(|line| format!(":{line}")).unwrap_or_default();
        let key = self.key.as_ref().map(|key| format!("{key}: ")).unwrap_or_default();
        format!("{}{line}: {key}", self.file)
    }
}

/// Why a configuration file was not accepted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigProblem {
    /// The operating system could not read the file; contains its message.
    #[error("{0}")]
    Unreadable(String),
    /// The path is a directory or a special file.
    #[error("expected a regular file")]
    NotAFile,
    /// The file exceeds the size limit; contains its size in bytes.
    #[error("expected at most {MAX_FILE_BYTES} bytes, found {0}")]
    TooLarge(u64),
    /// The script has a syntax error, fails, or exceeds a limit; contains the interpreter's message.
    #[error("{0}")]
    Script(String),
    /// The script does not set the name of the configuration.
    #[error("not set, expected a dict")]
    NotSet,
    /// The script sets the name of the configuration to another type; contains the JSON type of the value.
    #[error("expected a dict, found {0}")]
    NotADict(&'static str),
    /// The value of a key does not match the schema; contains the message of the parser or the check.
    #[error("{0}")]
    Invalid(String),
}

/// The errors in a configuration file, at least one.
#[derive(Debug, thiserror::Error)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl From<ConfigError> for ConfigErrors {
    fn from(error: ConfigError) -> Self {
        ConfigErrors(vec![error])
    }
}

impl fmt::Display for ConfigErrors {
    /// Writes one error per line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ConfigError::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

/// Why a `load` in a script failed. Contains the name of the file to be loaded.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum LoadError {
    /// The name contains a path or begins with a dot: only files in the folder of the script can be loaded.
    #[error("load of '{0}': only files in the same folder, expected a name without a path")]
    OutsideFolder(String),
    /// Loads are nested too deeply, possibly because files load each other, or there are too many in total.
    #[error(
        "load of '{0}': expected at most {MAX_LOADS} loads, nested at most {MAX_LOAD_DEPTH} deep and not in a circle"
    )]
    TooManyLoads(String),
    /// The loaded file cannot be read or evaluated.
    #[error(transparent)]
    File(#[from] ConfigError),
}
