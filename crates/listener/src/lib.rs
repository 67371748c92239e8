//! Retries failed calls of `accept` on a listening socket.
//!
//! Problem: some errors of `accept` concern only the first connection of the queue, so that the next call may succeed.
//! Others concern the process, such as a lack of file descriptors, and the next call fails as well. Method: the first
//! kind is retried immediately, the second after an interval. No error closes the listener.

#![warn(clippy::pedantic)]

use std::io;
use std::time::Duration;
use tokio::time::sleep;

/// What an error of `accept` affects, which decides when the call is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorScope {
    /// Only the connection to be accepted or the interrupted call: retried immediately.
    Connection,
    /// The process or the machine: calls fail until resources are released, so the retry is delayed.
    Process,
}

impl ErrorScope {
    /// Classifies an error that `accept` returned. Unknown errors count as [`ErrorScope::Process`].
    #[must_use]
    pub fn of(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted => ErrorScope::Connection,
            _ => ErrorScope::Process,
        }
    }
}

/// Calls `accept` until it succeeds, and `on_error` with each error before the retry. After an error with
/// [`ErrorScope::Process`], `accept` is called again `retry_interval` later. Cancel safe if `accept` is.
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
