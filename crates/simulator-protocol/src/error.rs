//! What can be wrong with the simulator's input.

use std::io;

/// What ends a run.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// A line cannot be read.
    #[error("line {line}: {error}")]
    Input {
        /// The line's number, from 1.
        line: usize,
        /// What is wrong with it.
        error: ProtocolError,
    },
    /// Standard input or output failed.
    #[error("reading or writing: {0}")]
    Io(#[from] io::Error),
}

/// What is wrong with one line.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ProtocolError {
    /// The line begins with a word that is no message.
    #[error("unknown message '{0}'")]
    UnknownMessage(String),
    /// A field that the message needs.
    #[error("field '{0}' is missing")]
    Missing(&'static str),
    /// A field, and its value.
    #[error("field '{0}' cannot be read: '{1}'")]
    Unreadable(&'static str, String),
    /// A part of the line is no field.
    #[error("'{0}' is no name=value pair")]
    NoPair(String),
    /// A message before the batch has begun.
    #[error("{0} outside a batch")]
    OutsideBatch(String),
    /// Another message than an entry while entries are due.
    #[error("{0} inside a list of entries")]
    InsideList(String),
    /// An entry while none is due.
    #[error("ENTRY outside a list")]
    EntryOutsideList,
    /// A message to an instance before one was named.
    #[error("{0} before any ON")]
    NoInstance(String),
    /// An instance that was not started, or was stopped.
    #[error("ON for instance '{0}', which is not enlisted")]
    NotEnlisted(String),
    /// A numbered list that is referred to.
    #[error("list {0} has not been sent")]
    NoSuchList(usize),
    /// The settings that an instance is started with.
    #[error("settings: {0}")]
    Settings(SettingsError),
    /// The input ended before the batch did.
    #[error("input ends inside a batch")]
    Truncated,
    /// The line is no text.
    #[error("not UTF-8")]
    NotText,
}

/// What is wrong with the settings object.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// It does not have the form of settings; the text names the key.
    #[error("{0}")]
    Malformed(String),
    /// A setting contradicts another, or leaves a rule without its figure.
    #[error("{key}: {problem}")]
    Invalid {
        /// The setting's key.
        key: String,
        /// What is wrong with its value.
        problem: &'static str,
    },
}
