//! Retries failed accepts of a listener.
//!
//! Problem: accept reports errors of the connection in front of the queue, which the next call does not meet, and errors
//! of the process, such as a lack of descriptors, which the next call meets as well. Method: the first kind is retried
//! immediately, the second after an interval. No error ends the listener.

#![warn(clippy::pedantic)]

use std::io;
use std::time::Duration;
use tokio::time::sleep;

/// The scope of an accept error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorScope {
    /// The connection that was to be accepted, or a single call: the next accept may succeed immediately.
    Connection,
    /// The process or the machine: the next accept fails as well until resources are released.
    Process,
}

impl ErrorScope {
    /// The scope of an error that accept returned.
    #[must_use]
    pub fn of(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted => ErrorScope::Connection,
            _ => ErrorScope::Process,
        }
    }
}

/// Calls `accept` until it succeeds. `on_error` is called with each error; after one of the process the next call is
/// made `retry_interval` later. Cancel safe if `accept` is.
pub async fn accept_with_retry<T>(
    mut accept: impl AsyncFnMut() -> io::Result<T>, retry_interval: Duration,
    mut on_error: impl FnMut(&io::Error, ErrorScope),
) -> T {
    loop {
        let error = match accept().await {
            Ok(accepted) => return accepted,
            Err(error) => error,
        };
        let scope = ErrorScope::of(&error);
        on_error(&error, scope);
        if scope == ErrorScope::Process {
            sleep(retry_interval).await;
        }
    }
}
