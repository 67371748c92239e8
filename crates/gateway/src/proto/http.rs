//! The client side of HTTP/1.1: encodes requests, and parses responses whose body has a length, is chunked, or
//! extends to the end of the connection.

use crate::limits::messages::{
    MAX_CHUNK_LINE_BYTES, MAX_CHUNK_SIZE_DIGITS, MAX_HTTP_BODY_BYTES, MAX_HTTP_HEAD_BYTES,
};
use bytes::{Buf, Bytes, BytesMut};

/// Separates the head of a response from its body.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Why a stream of HTTP responses or JSON objects cannot be parsed. The boundary of the next response or object is
/// unknown, so the connection has to be closed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ParseError {
    /// A part of the stream exceeds its limit in [`limits::messages`](crate::limits::messages).
    #[error("a head, line, body or JSON object exceeds its size limit")]
    TooLong,
    /// A part of the stream is not valid HTTP or JSON; the text says what was expected.
    #[error("malformed: {0}")]
    Malformed(&'static str),
}

/// A part of a response, in the order in which parts are returned: one head, any number of body parts, one end.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponsePart {
    /// The status line and the headers.
    Head {
        /// The status code, as sent; not checked to be a registered one.
        status: u16,
        /// Set when the service closes the connection after this response, so that it cannot be reused.
        closes_connection: bool,
    },
    /// The next bytes of the body, without chunk framing. Never empty; boundaries between parts have no meaning.
    Body(Bytes),
    /// The response is complete. Not returned for a body that extends to the end of the connection.
    End,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum ParserState {
    #[default]
    Head,
    /// A body with a length; the number of bytes that are not received yet.
    FixedLength(usize),
    ChunkSize,
    /// The number of bytes of the chunk that are not received yet.
    ChunkData(usize),
    ChunkEnd,
    Trailer,
    /// A body that extends to the end of the connection.
    UntilClose,
}

/// Parses the input of one connection: responses, one after another.
#[derive(Default)]
pub struct ResponseParser {
    state: ParserState,
}

impl ResponseParser {
    /// Removes the next part of a response from the buffer and returns it.
    ///
    /// After `Some`, call again before reading from the socket. Returns `None` if no part was received completely:
    /// append input to the buffer and call again. If the service has closed the connection instead, see
    /// [`is_complete_at_close`](Self::is_complete_at_close).
    ///
    /// # Errors
    /// The response is malformed or exceeds a limit: close the connection.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<ResponsePart>, ParseError> {
        loop {
            match self.state {
                ParserState::Head => return self.next_head(buffer),
                ParserState::FixedLength(0) => {
                    self.state = ParserState::Head;
                    return Ok(Some(ResponsePart::End));
                }
                ParserState::FixedLength(remaining) => {
                    let body = buffer.split_to(buffer.len().min(remaining)).freeze();
                    self.state = ParserState::FixedLength(remaining - body.len());
                    return Ok(body_part(body));
                }
                ParserState::ChunkData(remaining) => {
                    let body = buffer.split_to(buffer.len().min(remaining)).freeze();
                    let remaining = remaining - body.len();
                    self.state = if remaining == 0 {
                        ParserState::ChunkEnd
                    } else {
                        ParserState::ChunkData(remaining)
                    };
                    return Ok(body_part(body));
                }
                ParserState::UntilClose => return Ok(body_part(buffer.split().freeze())),
                ParserState::ChunkSize => {
                    let Some(line) = split_line(buffer, MAX_CHUNK_LINE_BYTES)? else { return Ok(None) };
                    let size = parse_chunk_size(&line)
                        .ok_or(ParseError::Malformed("expected a hexadecimal chunk size"))?;
                    self.state = if size == 0 { ParserState::Trailer } else { ParserState::ChunkData(size) };
                }
                ParserState::ChunkEnd => {
                    let Some(line) = split_line(buffer, MAX_CHUNK_LINE_BYTES)? else { return Ok(None) };
                    if !line.is_empty() {
                        return Err(ParseError::Malformed(
                            "expected the end of a line after the data of a chunk",
                        ));
                    }
                    self.state = ParserState::ChunkSize;
                }
                ParserState::Trailer => {
                    let Some(line) = split_line(buffer, MAX_HTTP_HEAD_BYTES)? else { return Ok(None) };
                    if line.is_empty() {
                        self.state = ParserState::Head;
                        return Ok(Some(ResponsePart::End));
                    }
                }
            }
        }
    }

    /// Returns `true` if the end of the connection completes the current response. Call when the service has closed
    /// the connection: with `false` the response is truncated, or none was pending.
    #[must_use]
    pub fn is_complete_at_close(&self) -> bool {
        self.state == ParserState::UntilClose
    }

    fn next_head(&mut self, buffer: &mut BytesMut) -> Result<Option<ResponsePart>, ParseError> {
        let window = &buffer[..buffer.len().min(MAX_HTTP_HEAD_BYTES)];
        let Some(end) = window.windows(HEAD_END.len()).position(|bytes| bytes == HEAD_END) else {
            return if buffer.len() >= MAX_HTTP_HEAD_BYTES { Err(ParseError::TooLong) } else { Ok(None) };
        };
        let head = buffer.split_to(end + HEAD_END.len());
        let text = std::str::from_utf8(&head[..end]);
        let head =
            Head::parse(text.map_err(|_| ParseError::Malformed("expected a response head in UTF-8"))?)?;
        self.state = head.body_state();
        let closes_connection = head.closes_connection || self.state == ParserState::UntilClose;
        Ok(Some(ResponsePart::Head { status: head.status, closes_connection }))
    }
}

/// The status, and the headers that determine where the body ends and whether the connection is reusable.
struct Head {
    status: u16,
    content_length: Option<usize>,
    is_chunked: bool,
    closes_connection: bool,
}

impl Head {
    fn parse(text: &str) -> Result<Self, ParseError> {
        let mut lines = text.split("\r\n");
        let status = parse_status(lines.next().unwrap_or(""))?;
        let mut head = Head { status, content_length: None, is_chunked: false, closes_connection: false };
        for line in lines {
            let (name, value) = line
                .split_once(':')
                .ok_or(ParseError::Malformed("expected a header of the form name: value"))?;
            head.apply_header(name, value.trim())?;
        }
        Ok(head)
    }

    fn apply_header(&mut self, name: &str, value: &str) -> Result<(), ParseError> {
        if name.eq_ignore_ascii_case("content-length") {
            let length = parse_digits(value)
                .ok_or(ParseError::Malformed("expected a decimal number as Content-Length"))?;
            if self.content_length.is_some_and(|known| known != length) {
                return Err(ParseError::Malformed("expected one Content-Length, got two that differ"));
            }
            self.content_length = Some(length);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            self.is_chunked = value.eq_ignore_ascii_case("chunked");
        } else if name.eq_ignore_ascii_case("connection") {
            self.closes_connection = value.eq_ignore_ascii_case("close");
        }
        Ok(())
    }

    /// The state of the parser after this head.
    fn body_state(&self) -> ParserState {
        // Responses with a status 1xx, 204 or 304 never have a body, whatever their headers state.
        let has_no_body = self.status / 100 == 1 || self.status == 204 || self.status == 304;
        match self.content_length {
            _ if has_no_body => ParserState::FixedLength(0),
            _ if self.is_chunked => ParserState::ChunkSize,
            Some(length) => ParserState::FixedLength(length),
            None => ParserState::UntilClose,
        }
    }
}

fn parse_status(line: &str) -> Result<u16, ParseError> {
    let mut words = line.splitn(3, ' ');
    if !words.next().is_some_and(|version| version.starts_with("HTTP/1.")) {
        return Err(ParseError::Malformed("expected a status line that begins with HTTP/1"));
    }
    let digits = words.next().filter(|digits| digits.len() == 3);
    digits
        .and_then(|digits| digits.parse().ok())
        .ok_or(ParseError::Malformed("expected a status code of three digits"))
}

/// Parses a decimal number without sign.
fn parse_digits(text: &str) -> Option<usize> {
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if is_number { text.parse().ok() } else { None }
}

/// Parses the line before a chunk and returns the size in bytes. Chunk extensions are ignored.
fn parse_chunk_size(line: &[u8]) -> Option<usize> {
    let digits = line.split(|byte| *byte == b';').next()?.trim_ascii();
    let digits = std::str::from_utf8(digits).ok()?;
    let is_number = (1..=MAX_CHUNK_SIZE_DIGITS).contains(&digits.len())
        && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    if is_number { usize::from_str_radix(digits, 16).ok() } else { None }
}

fn body_part(bytes: Bytes) -> Option<ResponsePart> {
    if bytes.is_empty() { None } else { Some(ResponsePart::Body(bytes)) }
}

/// Removes the first line and its terminator from the buffer, and returns it without the terminator, or `None` if no
/// complete line was received. `max_length` is the most bytes of a line with its terminator.
fn split_line(buffer: &mut BytesMut, max_length: usize) -> Result<Option<Bytes>, ParseError> {
    let Some(end) = buffer[..buffer.len().min(max_length)].iter().position(|byte| *byte == b'\n') else {
        return if buffer.len() >= max_length { Err(ParseError::TooLong) } else { Ok(None) };
    };
    let mut line = buffer.split_to(end + 1).freeze();
    line.truncate(if line[..end].ends_with(b"\r") { end - 1 } else { end });
    Ok(Some(line))
}

/// Collects the body of a response, up to [`MAX_HTTP_BODY_BYTES`] bytes.
#[derive(Default)]
pub struct BodyBuffer {
    bytes: BytesMut,
}

impl BodyBuffer {
    /// Appends the bytes of a [`ResponsePart::Body`].
    ///
    /// # Errors
    /// The bytes that were not removed yet would exceed [`MAX_HTTP_BODY_BYTES`]: close the connection.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), ParseError> {
        if self.bytes.len() + bytes.len() > MAX_HTTP_BODY_BYTES {
            return Err(ParseError::TooLong);
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Removes the next line and returns it without its terminator, or `None` if no complete line was received.
    pub fn next_line(&mut self) -> Option<Bytes> {
        split_line(&mut self.bytes, usize::MAX).ok().flatten()
    }

    /// Removes and returns all bytes, and releases their memory.
    pub fn take(&mut self) -> Bytes {
        let all = self.bytes.copy_to_bytes(self.bytes.len());
        self.bytes = BytesMut::new();
        all
    }
}

/// Encodes a GET request. `host` is the value of the header of that name, as `address:port`.
#[must_use]
pub fn get(host: &str, path: &str) -> Bytes {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").into()
}

/// Encodes a POST request with a JSON body. `host` is the value of the header of that name, as `address:port`.
#[must_use]
pub fn post(host: &str, path: &str, body: &str) -> Bytes {
    let length = body.len();
    let head = format!("POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n");
    format!("{head}Content-Length: {length}\r\n\r\n{body}").into()
}
