//! Why a call to discovery or the platform failed. The texts are logged.

use super::list::ListError;
use super::platform::MessageError;
use crate::proto::http;
use std::io;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection could not be opened, or broke.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The response is not as HTTP has it.
    #[error(transparent)]
    Response(#[from] http::ParseError),
    /// The list cannot be read.
    #[error(transparent)]
    List(#[from] ListError),
    /// The answer to a vote cannot be read.
    #[error(transparent)]
    Message(#[from] MessageError),
    /// A line of the feed cannot be read.
    #[error("a line cannot be read: {0}")]
    Line(MessageError),
    /// The response has another status than 200.
    #[error("status {0}")]
    Status(u16),
    /// The body of a response with this status cannot be read.
    #[error("status {status}: {error}")]
    StatusBody {
        /// The status.
        status: u16,
        /// What is wrong with the body.
        error: serde_json::Error,
    },
    /// The status and the error that the body names do not fit.
    #[error("status {0} with other words")]
    StatusMismatch(u16),
    /// The connection was not up in time.
    #[error("upstream: connection failed")]
    NoConnection,
    /// The connection for a vote was not up in time.
    #[error("no connection in time")]
    NoConnectionInTime,
    /// There was no response.
    #[error("no answer")]
    NoResponse,
    /// There was no answer to a vote in time.
    #[error("no answer in time")]
    NoResponseInTime,
    /// The response began with something else than its head.
    #[error("no head")]
    NoHead,
    /// The head of the response did not come in time.
    #[error("no head in time")]
    NoHeadInTime,
    /// The connection ended before the head of the response.
    #[error("it ended before its head")]
    EndedBeforeHead,
    /// The connection ended within the response.
    #[error("the answer is cut off")]
    CutOff,
    /// Nothing came for too long.
    #[error("no sign of life")]
    Silent,
    /// The watch ended.
    #[error("the watch ended")]
    WatchEnded,
    /// The feed ended.
    #[error("it ended")]
    FeedEnded,
    /// There is no feed.
    #[error("none is open")]
    NoFeed,
    /// No address of a platform is known.
    #[error("no platform is known")]
    NoPlatform,
}
