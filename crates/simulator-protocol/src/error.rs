//! The errors of the simulator's input.

use std::io;

/// Why a run ended.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// A line cannot be parsed.
    #[error("line {line}: {error}")]
    Input {
        /// The line's number, from 1.
        line: usize,
        /// The error in it.
        error: ProtocolError,
    },
    /// Standard input or output failed.
    #[error("reading or writing: {0}")]
    Io(#[from] io::Error),
}

/// An error in one line.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ProtocolError {
    /// The line begins with an unknown message.
    #[error("unknown message '{0}'")]
    UnknownMessage(String),
    /// A required field is missing; its name.
    #[error("field '{0}' is missing")]
    Missing(&'static str),
    /// A field has an invalid value; its name and the value.
    #[error("field '{0}' cannot be read: '{1}'")]
    Unreadable(&'static str, String),
    /// A part of the line is not a field.
    #[error("'{0}' is no name=value pair")]
    NoPair(String),
    /// A message before the start of a batch.
    #[error("{0} outside a batch")]
    OutsideBatch(String),
    /// Another message than an entry inside a list.
    #[error("{0} inside a list of entries")]
    InsideList(String),
    /// An entry outside a list.
    #[error("ENTRY outside a list")]
    EntryOutsideList,
    /// A message to an instance before one was selected.
    #[error("{0} before any ON")]
    NoInstance(String),
    /// An instance that was not started, or was stopped.
    #[error("ON for instance '{0}', which is not enlisted")]
    NotEnlisted(String),
    /// A numbered list that was not sent; its number.
    #[error("list {0} has not been sent")]
    NoSuchList(usize),
    /// The settings of an instance are invalid.
    #[error("settings: {0}")]
    Settings(SettingsError),
    /// The input ended inside a batch.
    #[error("input ends inside a batch")]
    Truncated,
    /// The line is not UTF-8.
    #[error("not UTF-8")]
    NotText,
}

/// An error in the settings object.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// It is malformed; the text names the key.
    #[error("{0}")]
    Malformed(String),
    /// A setting contradicts another, or is outside its range.
    #[error("{key}: {problem}")]
    Invalid {
        /// The setting's key.
        key: String,
        /// The problem with its value.
        problem: &'static str,
    },
}
