//! The client side of HTTP/1.1: responses with a length, chunked, or up to the end of the connection.

use crate::limits::messages::{
    MAX_CHUNK_LINE_BYTES, MAX_CHUNK_SIZE_DIGITS, MAX_HTTP_BODY_BYTES, MAX_HTTP_HEAD_BYTES,
};
use bytes::{Buf, Bytes, BytesMut};

/// Why a stream cannot be parsed; nothing after this can be parsed either.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ParseError {
    /// A part exceeds its limit.
    #[error("a head or line is too long")]
    TooLong,
    /// A part is not valid HTTP or JSON.
    #[error("malformed: {0}")]
    Malformed(&'static str),
}

/// A part of a response.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponsePart {
    /// The status line and the headers.
    Head {
        /// The status.
        status: u16,
        /// The connection ends after this response.
        is_last: bool,
    },
    /// Bytes of the body.
    Body(Bytes),
    /// The end of the response.
    End,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum ParserState {
    #[default]
    Head,
    /// The number of bytes of the body that are not received yet.
    Counted(usize),
    ChunkSize,
    /// The number of bytes of the chunk that are not received yet.
    Chunk(usize),
    ChunkEnd,
    Trailer,
    UntilClose,
}

/// Parses responses, one after another.
#[derive(Default)]
pub struct ResponseReader {
    state: ParserState,
}

impl ResponseReader {
    /// The next part, if it was received.
    ///
    /// # Errors
    /// The response is malformed or exceeds a limit.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<ResponsePart>, ParseError> {
        loop {
            match self.state {
                ParserState::Head => return self.next_head(buffer),
                ParserState::Counted(0) => {
                    self.state = ParserState::Head;
                    return Ok(Some(ResponsePart::End));
                }
                ParserState::Counted(remaining) => {
                    let body = buffer.split_to(buffer.len().min(remaining)).freeze();
                    self.state = ParserState::Counted(remaining - body.len());
                    return Ok(body_part(body));
                }
                ParserState::Chunk(remaining) => {
                    let body = buffer.split_to(buffer.len().min(remaining)).freeze();
                    let remaining = remaining - body.len();
                    self.state =
                        if remaining == 0 { ParserState::ChunkEnd } else { ParserState::Chunk(remaining) };
                    return Ok(body_part(body));
                }
                ParserState::UntilClose => return Ok(body_part(buffer.split().freeze())),
                ParserState::ChunkSize => {
                    let Some(line) = split_line(buffer, MAX_CHUNK_LINE_BYTES)? else { return Ok(None) };
                    let size = chunk_size(&line).ok_or(ParseError::Malformed("the size of a chunk"))?;
                    self.state = if size == 0 { ParserState::Trailer } else { ParserState::Chunk(size) };
                }
                ParserState::ChunkEnd => {
                    let Some(line) = split_line(buffer, MAX_CHUNK_LINE_BYTES)? else { return Ok(None) };
                    if !line.is_empty() {
                        return Err(ParseError::Malformed("the end of a chunk"));
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

    /// The response is complete if the connection closes now.
    #[must_use]
    pub fn is_complete_at_close(&self) -> bool {
        self.state == ParserState::UntilClose
    }

    fn next_head(&mut self, buffer: &mut BytesMut) -> Result<Option<ResponsePart>, ParseError> {
        let window = &buffer[..buffer.len().min(MAX_HTTP_HEAD_BYTES)];
        let Some(end) = window.windows(4).position(|bytes| bytes == b"\r\n\r\n") else {
            return if buffer.len() >= MAX_HTTP_HEAD_BYTES { Err(ParseError::TooLong) } else { Ok(None) };
        };
        let head = buffer.split_to(end + 4);
        let text = std::str::from_utf8(&head[..end]);
        let head = Head::parse(text.map_err(|_| ParseError::Malformed("a head is not UTF-8"))?)?;
        self.state = head.body_state();
        let is_last = head.closes_connection || self.state == ParserState::UntilClose;
        Ok(Some(ResponsePart::Head { status: head.status, is_last }))
    }
}

/// The parts of a head that determine the body.
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
            let (name, value) =
                line.split_once(':').ok_or(ParseError::Malformed("a header without a colon"))?;
            head.apply_header(name, value.trim())?;
        }
        Ok(head)
    }

    fn apply_header(&mut self, name: &str, value: &str) -> Result<(), ParseError> {
        if name.eq_ignore_ascii_case("content-length") {
            let length = parse_digits(value).ok_or(ParseError::Malformed("content-length"))?;
            if self.content_length.is_some_and(|known| known != length) {
                return Err(ParseError::Malformed("two lengths"));
            }
            self.content_length = Some(length);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            self.is_chunked = value.eq_ignore_ascii_case("chunked");
        } else if name.eq_ignore_ascii_case("connection") {
            self.closes_connection = value.eq_ignore_ascii_case("close");
        }
        Ok(())
    }

    fn body_state(&self) -> ParserState {
        let has_no_body = self.status / 100 == 1 || self.status == 204 || self.status == 304;
        match self.content_length {
            _ if has_no_body => ParserState::Counted(0),
            _ if self.is_chunked => ParserState::ChunkSize,
            Some(length) => ParserState::Counted(length),
            None => ParserState::UntilClose,
        }
    }
}

fn parse_status(line: &str) -> Result<u16, ParseError> {
    let mut words = line.splitn(3, ' ');
    if !words.next().is_some_and(|version| version.starts_with("HTTP/1.")) {
        return Err(ParseError::Malformed("not an HTTP/1 response"));
    }
    let digits = words.next().filter(|digits| digits.len() == 3);
    digits.and_then(|digits| digits.parse().ok()).ok_or(ParseError::Malformed("the status"))
}

fn parse_digits(text: &str) -> Option<usize> {
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if is_number { text.parse().ok() } else { None }
}

/// The size of a chunk; extensions are ignored.
fn chunk_size(line: &[u8]) -> Option<usize> {
    let digits = line.split(|byte| *byte == b';').next()?.trim_ascii();
    let digits = std::str::from_utf8(digits).ok()?;
    let is_number = (1..=MAX_CHUNK_SIZE_DIGITS).contains(&digits.len())
        && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    if is_number { usize::from_str_radix(digits, 16).ok() } else { None }
}

fn body_part(bytes: Bytes) -> Option<ResponsePart> {
    if bytes.is_empty() { None } else { Some(ResponsePart::Body(bytes)) }
}

/// Splits off the first line, without its end.
fn split_line(buffer: &mut BytesMut, max_length: usize) -> Result<Option<Bytes>, ParseError> {
    let Some(end) = buffer[..buffer.len().min(max_length)].iter().position(|byte| *byte == b'\n') else {
        return if buffer.len() >= max_length { Err(ParseError::TooLong) } else { Ok(None) };
    };
    let mut line = buffer.split_to(end + 1).freeze();
    line.truncate(if line[..end].ends_with(b"\r") { end - 1 } else { end });
    Ok(Some(line))
}

/// Collects a body, up to a bound.
#[derive(Default)]
pub struct BodyBuffer {
    bytes: BytesMut,
}

impl BodyBuffer {
    /// Adds received bytes.
    ///
    /// # Errors
    /// The body exceeds its bound.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), ParseError> {
        if self.bytes.len() + bytes.len() > MAX_HTTP_BODY_BYTES {
            return Err(ParseError::TooLong);
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// The next complete line of a stream.
    pub fn next_line(&mut self) -> Option<Bytes> {
        split_line(&mut self.bytes, usize::MAX).ok().flatten()
    }

    /// Removes and returns all bytes.
    pub fn take(&mut self) -> Bytes {
        let all = self.bytes.copy_to_bytes(self.bytes.len());
        self.bytes = BytesMut::new();
        all
    }
}

/// A request without a body.
#[must_use]
pub fn get(host: &str, path: &str) -> Bytes {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").into()
}

/// A request with a JSON body.
#[must_use]
pub fn post(host: &str, path: &str, body: &str) -> Bytes {
    let length = body.len();
    let head = format!("POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n");
    format!("{head}Content-Length: {length}\r\n\r\n{body}").into()
}
