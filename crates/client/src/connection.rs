//! A connection to a gateway on a socket.

use crate::call::AttemptOutcome;
use crate::rules::READ_CAPACITY_BYTES;
use crate::wire::{Response, ResponseReader, startup_message};
use bytes::BytesMut;
use std::io::ErrorKind;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

pub(crate) struct GatewayConnection {
    pub(crate) id: u64,
    stream: TcpStream,
    /// Bytes that were received and not parsed yet.
    buffer: BytesMut,
}

impl GatewayConnection {
    /// Opens a connection and waits until the gateway is ready for queries; `None` if either fails. Has no timeout of
    /// its own.
    pub(crate) async fn connect(id: u64, gateway: SocketAddr) -> Option<Self> {
        let mut stream = TcpStream::connect(gateway).await.ok()?;
        stream.set_nodelay(true).ok()?;
        stream.write_all(&startup_message()).await.ok()?;
        let mut connection = GatewayConnection { id, stream, buffer: BytesMut::new() };
        match connection.read_response().await {
            Ok(Response::Ready) => Some(connection),
            _ => None,
        }
    }

    /// Returns `true` if the gateway has closed the connection, or has sent bytes without a query. Called only while
    /// the connection is idle.
    pub(crate) fn is_unusable(&self) -> bool {
        let read = self.stream.try_read(&mut [0]);
        !matches!(read, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Returns `true` if bytes have arrived after the end of the last response.
    pub(crate) fn has_unread_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Writes a query, and adds the number of bytes written to `written`, which is valid even if this future is dropped
    /// before it completes.
    pub(crate) async fn write_query(
        &mut self, query: &[u8], written: &mut usize,
    ) -> Result<(), AttemptOutcome> {
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

    /// Reads one response, up to `ReadyForQuery` or a fatal error.
    pub(crate) async fn read_response(&mut self) -> Result<Response, AttemptOutcome> {
        let mut reader = ResponseReader::default();
        loop {
            match reader.read(&mut self.buffer) {
                Ok(Some(response)) => return Ok(response),
                Ok(None) => {}
                Err(_) => return Err(AttemptOutcome::ConnectionLost),
            }
            self.buffer.reserve(READ_CAPACITY_BYTES);
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(count) if count > 0 => {}
                _ => return Err(AttemptOutcome::ConnectionLost),
            }
        }
    }
}
