//! A connection that is assigned to a call, and the attempts on it.

use crate::call::AttemptOutcome;
use crate::connection::GatewayConnection;
use crate::pool_messages::ConnectionEvent;
use crate::request::Value;
use crate::time::Millis;
use crate::wire::Response;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// A connection that is assigned to a call. Dropping it before it is released closes the connection, by which the
/// gateway cancels the request.
pub(crate) struct AcquiredConnection {
    /// `None` once the connection is released or closed.
    connection: Option<Box<GatewayConnection>>,
    events: mpsc::UnboundedSender<ConnectionEvent>,
}

impl Drop for AcquiredConnection {
    fn drop(&mut self) {
        self.close(ConnectionEvent::Discarded);
    }
}

impl AcquiredConnection {
    pub(crate) fn new(
        connection: Box<GatewayConnection>, events: mpsc::UnboundedSender<ConnectionEvent>,
    ) -> Self {
        AcquiredConnection { connection: Some(connection), events }
    }

    /// Returns the connection to the pool.
    pub(crate) fn release(&mut self) {
        if let Some(connection) = self.connection.take() {
            let _ = self.events.send(ConnectionEvent::Released(connection));
        }
    }

    /// Closes the connection and reports the reason to the pool.
    fn close(&mut self, event: impl FnOnce(u64) -> ConnectionEvent) {
        if let Some(connection) = self.connection.take() {
            let _ = self.events.send(event(connection.id));
        }
    }

    /// Returns the connection to the pool after an error; closes it if the error is fatal.
    fn finish_error(&mut self, is_fatal: bool) {
        if is_fatal {
            self.close(ConnectionEvent::Lost);
        } else {
            self.release();
        }
    }

    /// Makes one attempt: writes a query and reads the response.
    ///
    /// # Errors
    /// The outcome of an attempt without a value; never [`AttemptOutcome::Success`].
    pub(crate) async fn attempt(
        &mut self, query: &[u8], time_limit: Duration,
    ) -> Result<Value, AttemptOutcome> {
        let Some(connection) = &mut self.connection else { return Err(AttemptOutcome::NotSent) };
        let mut written = 0;
        let exchange = async {
            connection.write_query(query, &mut written).await?;
            connection.read_response().await
        };
        let result = timeout(time_limit, exchange).await;
        // A query whose last byte was not written was not executed.
        let is_fully_written = written == query.len();
        let unless_unsent = |outcome| if is_fully_written { outcome } else { AttemptOutcome::NotSent };
        match result {
            Ok(Ok(Response::Value(value))) => {
                self.release();
                Ok(value)
            }
            Ok(Ok(Response::Rejected { retry_after, is_fatal })) => {
                self.finish_error(is_fatal);
                Err(AttemptOutcome::Rejected { retry_after: retry_after.map(|time| time as Millis) })
            }
            Ok(Ok(Response::Failed { is_fatal, .. })) => {
                self.finish_error(is_fatal);
                Err(AttemptOutcome::Failed)
            }
            Ok(Ok(Response::Ready) | Err(_)) => {
                self.close(ConnectionEvent::Lost);
                Err(unless_unsent(AttemptOutcome::ConnectionLost))
            }
            Err(_) => {
                // The response may still arrive, and would be read as that of the next query on this connection.
                self.close(ConnectionEvent::TimedOut);
                Err(unless_unsent(AttemptOutcome::Timeout))
            }
        }
    }
}
