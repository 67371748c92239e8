//! One connection to a gateway, and the guard under which a call uses it.

use crate::call::AttemptOutcome;
use crate::pool_driver::ConnectionEvent;
use crate::request::Value;
use crate::time::Millis;
use crate::wire::{Answer, AnswerReader, startup_message};
use bytes::BytesMut;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Bytes for which room is made before each read.
const READ_SIZE: usize = 16 * 1024;

/// A connection and the bytes that were read on it and not yet parsed.
pub(crate) struct GatewayConnection {
    pub(crate) id: u64,
    stream: TcpStream,
    buffer: BytesMut,
}

impl GatewayConnection {
    /// Connects; none where the gateway is not ready for a query.
    pub(crate) async fn connect(id: u64, gateway: SocketAddr) -> Option<Self> {
        let mut stream = TcpStream::connect(gateway).await.ok()?;
        stream.set_nodelay(true).ok()?;
        stream.write_all(&startup_message()).await.ok()?;
        let mut connection = GatewayConnection { id, stream, buffer: BytesMut::new() };
        match connection.read_answer().await {
            Ok(Answer::Ready) => Some(connection),
            _ => None,
        }
    }

    /// True where the gateway has closed it, or has sent bytes that no query asked for.
    pub(crate) fn is_unusable(&self) -> bool {
        let read = self.stream.try_read(&mut [0]);
        !matches!(read, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// True where bytes are left that belong to no answer.
    pub(crate) fn has_unread_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Writes a query; `written` counts its bytes also where this future is dropped on the way.
    async fn write_query(&mut self, query: &[u8], written: &mut usize) -> Result<(), AttemptOutcome> {
        while *written < query.len() {
            let result = self.stream.write(&query[*written..]).await;
            let count = result.map_err(|_| AttemptOutcome::ConnectionLost)?;
            if count == 0 {
                return Err(AttemptOutcome::ConnectionLost);
            }
            *written += count;
        }
        Ok(())
    }

    async fn read_answer(&mut self) -> Result<Answer, AttemptOutcome> {
        let mut reader = AnswerReader::default();
        loop {
            match reader.read(&mut self.buffer) {
                Ok(Some(answer)) => return Ok(answer),
                Ok(None) => {}
                Err(_) => return Err(AttemptOutcome::ConnectionLost),
            }
            self.buffer.reserve(READ_SIZE);
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(count) if count > 0 => {}
                _ => return Err(AttemptOutcome::ConnectionLost),
            }
        }
    }
}

/// A connection in use by a call. Dropped with a query under way it is closed: that cancels the request.
pub(crate) struct ConnectionGuard {
    connection: Option<Box<GatewayConnection>>,
    events: mpsc::UnboundedSender<ConnectionEvent>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.close(ConnectionEvent::Discarded);
    }
}

impl ConnectionGuard {
    pub(crate) fn new(
        connection: Box<GatewayConnection>, events: mpsc::UnboundedSender<ConnectionEvent>,
    ) -> Self {
        ConnectionGuard { connection: Some(connection), events }
    }

    /// Returns the connection to the pool.
    pub(crate) fn release(&mut self) {
        if let Some(connection) = self.connection.take() {
            let _ = self.events.send(ConnectionEvent::Released(connection));
        }
    }

    /// Closes the connection and tells the pool why.
    fn close(&mut self, event: impl FnOnce(u64) -> ConnectionEvent) {
        if let Some(connection) = self.connection.take() {
            let _ = self.events.send(event(connection.id));
        }
    }

    /// Ends the use of the connection after an error in an answer.
    fn finish_error(&mut self, is_fatal: bool) {
        if is_fatal {
            self.close(ConnectionEvent::Lost);
        } else {
            self.release();
        }
    }

    /// Makes one attempt: writes a query and reads its answer.
    ///
    /// # Errors
    /// How the attempt ended, where it has no value.
    pub(crate) async fn attempt(
        &mut self, query: &[u8], time_limit: Duration,
    ) -> Result<Value, AttemptOutcome> {
        let Some(connection) = &mut self.connection else { return Err(AttemptOutcome::NotSent) };
        let mut written = 0;
        let exchange = async {
            connection.write_query(query, &mut written).await?;
            connection.read_answer().await
        };
        let result = timeout(time_limit, exchange).await;
        // Broken before its last byte was written, a query was not executed.
        let is_fully_written = written == query.len();
        let unless_unsent = |outcome| if is_fully_written { outcome } else { AttemptOutcome::NotSent };
        match result {
            Ok(Ok(Answer::Value(value))) => {
                self.release();
                Ok(value)
            }
            Ok(Ok(Answer::Rejected { retry_after, is_fatal })) => {
                self.finish_error(is_fatal);
                Err(AttemptOutcome::Rejected { retry_after: retry_after.map(|time| time as Millis) })
            }
            Ok(Ok(Answer::Failed { is_fatal, .. })) => {
                self.finish_error(is_fatal);
                Err(AttemptOutcome::Failed)
            }
            Ok(Ok(Answer::Ready) | Err(_)) => {
                self.close(ConnectionEvent::Lost);
                Err(unless_unsent(AttemptOutcome::ConnectionLost))
            }
            Err(_) => {
                // Not kept: the answer may yet come on it.
                self.close(ConnectionEvent::TimedOut);
                Err(unless_unsent(AttemptOutcome::Timeout))
            }
        }
    }
}
