//! Errors in the simulator's input.

use std::io;

/// Why [`InstanceHost::serve`](crate::InstanceHost::serve) stopped before the end of its input.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// A line cannot be parsed.
    #[error("line {line}: {error}")]
    Input {
        /// Number of the line, from 1.
        line: usize,
        /// Why the line was not accepted.
        error: ProtocolError,
    },
    /// The input could not be read, or the output not written.
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
}

/// Why a line was not accepted.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ProtocolError {
    /// The line begins with a message name that the protocol does not have.
    #[error("unknown message '{0}'")]
    UnknownMessage(String),
    /// A required field is missing or empty; contains its name.
    #[error("field '{0}' is missing")]
    Missing(&'static str),
    /// The value of a field has the wrong type or is out of range; contains the field's name and the value.
    #[error("field '{0}' has an invalid value: '{1}'")]
    InvalidValue(&'static str, String),
    /// A part of the line, which the error contains, has no `=`.
    #[error("expected a name=value pair, found '{0}'")]
    NotAPair(String),
    /// A message, which the error contains, between batches.
    #[error("expected MARK to start a batch, found {0}")]
    OutsideBatch(String),
    /// A message, which the error contains, before all entries of an endpoint list were sent.
    #[error("expected ENTRY inside an endpoint list, found {0}")]
    InsideList(String),
    /// An entry without the start of an endpoint list.
    #[error("expected DIRECTORY before ENTRY")]
    EntryOutsideList,
    /// A message to an instance, which the error contains, in a batch that has not selected an instance.
    #[error("expected ON to select an instance, found {0}")]
    NoInstanceSelected(String),
    /// The selected instance, whose name the error contains, was never started, or was stopped.
    #[error("instance '{0}' is not running, expected ENLIST")]
    NotRunning(String),
    /// A message refers to a slot, whose number the error contains, in which no endpoint list is stored.
    #[error("endpoint list {0} was not sent")]
    UnknownList(usize),
    /// The settings object of an instance is invalid.
    #[error("settings: {0}")]
    Settings(SettingsError),
    /// The next batch or the end of input, which the error contains, before the end of the current batch.
    #[error("expected FLUSH to end the batch, found {0}")]
    IncompleteBatch(&'static str),
    /// The line is not UTF-8.
    #[error("expected UTF-8")]
    NotUtf8,
}

/// An error in the settings object. Each text begins with the path of the key, if there is one.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON, or a key is missing or has a value of the wrong type; contains the parser's message.
    #[error("{0}")]
    Malformed(String),
    /// A time in another unit than seconds.
    #[error("{key}: unknown unit, expected seconds (a key that ends with `-s`)")]
    UnknownUnit {
        /// Path of the key.
        key: String,
    },
    /// A setting contradicts another, or is out of range.
    #[error("{key}: expected {expected}, found {found}")]
    Invalid {
        /// Path of the key; for a setting of a class, `classes 'NAME': KEY`.
        key: String,
        /// The values that the setting may have.
        expected: String,
        /// The value of the setting.
        found: String,
    },
}
