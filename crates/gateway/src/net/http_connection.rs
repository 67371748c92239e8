//! A client connection to an HTTP service, which carries one request and response after another.

use super::io::{is_unusable, read_some, write_all};
use crate::proto::http::{self, ParseError, ResponseParser, ResponsePart};
use bytes::{Bytes, BytesMut};
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Why a request or its response failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum HttpError {
    /// The connection could not be opened, or was lost.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The response is malformed or exceeds a limit.
    #[error(transparent)]
    Response(#[from] ParseError),
}

/// An open connection; `buffer` is input that `reader` has not parsed yet.
pub(super) struct HttpConnection {
    address: SocketAddr,
    stream: TcpStream,
    reader: ResponseParser,
    buffer: BytesMut,
}

impl HttpConnection {
    /// Connects. The caller sets a timeout.
    ///
    /// # Errors
    /// The connection cannot be opened.
    pub(super) async fn open(address: SocketAddr) -> Result<Self, HttpError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(HttpConnection { address, stream, reader: ResponseParser::default(), buffer: BytesMut::new() })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes a GET request.
    ///
    /// # Errors
    /// The connection was lost before the last byte was written.
    pub(super) async fn get(&self, path: &str) -> Result<(), HttpError> {
        self.write(http::get(&self.address.to_string(), path)).await
    }

    /// Writes a POST request with a JSON body.
    ///
    /// # Errors
    /// The connection was lost before the last byte was written.
    pub(super) async fn post(&self, path: &str, body: &str) -> Result<(), HttpError> {
        self.write(http::post(&self.address.to_string(), path, body)).await
    }

    async fn write(&self, request: Bytes) -> Result<(), HttpError> {
        Ok(write_all(&self.stream, &[request]).await?)
    }

    /// Reads the next part of the response; `None` if the service has closed the connection. Cancel safe.
    ///
    /// # Errors
    /// The connection was lost, or the response is malformed or exceeds a limit.
    pub(super) async fn next_part(&mut self) -> Result<Option<ResponsePart>, HttpError> {
        loop {
            if let Some(part) = self.reader.next(&mut self.buffer)? {
                return Ok(Some(part));
            }
            if read_some(&self.stream, &mut self.buffer).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Returns `true` if the body of the current response ends when the service closes the connection.
    pub(super) fn is_complete_at_close(&self) -> bool {
        self.reader.is_complete_at_close()
    }

    /// Returns `true` if bytes were received that do not form a complete part of a response yet.
    pub(super) fn has_unparsed_input(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns `true` if no request can be sent, because the service closed the connection or sent unsolicited data.
    pub(super) fn is_unusable(&self) -> bool {
        is_unusable(&self.stream)
    }
}
