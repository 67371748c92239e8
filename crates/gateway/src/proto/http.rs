//! HTTP/1.1 as a client reads it: answers with a length, chunked, or to the end of the connection.

use bytes::{Buf, Bytes, BytesMut};

/// The longest head of an answer, and the longest line about a chunk.
const LONGEST_HEAD: usize = 16 * 1024;
const LONGEST_CHUNK_LINE: usize = 256;
/// The longest body that is taken whole, and the longest line of a stream: some thousand servers.
const LONGEST_BODY: usize = 1024 * 1024;

#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Broken {
    #[error("a head or line is too long")]
    TooLong,
    #[error("malformed: {0}")]
    Form(&'static str),
}

/// A part of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    Head {
        status: u16,
        /// The connection ends after this answer.
        last: bool,
    },
    Body(Bytes),
    End,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum At {
    #[default]
    Head,
    /// So many bytes of the body to come.
    Counted(usize),
    ChunkLine,
    /// So many bytes of the chunk to come.
    Chunk(usize),
    ChunkEnd,
    Trailer,
    ToEnd,
}

/// Reads answers, one after another.
#[derive(Default)]
pub struct Reader(At);

impl Reader {
    /// The next part, if enough has come.
    pub fn next(&mut self, buf: &mut BytesMut) -> Result<Option<Part>, Broken> {
        loop {
            match self.0 {
                At::Head => return self.head(buf),
                At::Counted(0) => {
                    self.0 = At::Head;
                    return Ok(Some(Part::End));
                }
                At::Counted(left) | At::Chunk(left) => {
                    let piece = buf.split_to(buf.len().min(left)).freeze();
                    let left = left - piece.len();
                    self.0 = match self.0 {
                        At::Chunk(_) if left == 0 => At::ChunkEnd,
                        At::Chunk(_) => At::Chunk(left),
                        _ => At::Counted(left),
                    };
                    return Ok((!piece.is_empty()).then_some(Part::Body(piece)));
                }
                At::ToEnd => {
                    let piece = buf.split().freeze();
                    return Ok((!piece.is_empty()).then_some(Part::Body(piece)));
                }
                At::ChunkLine => {
                    let Some(line) = line(buf, LONGEST_CHUNK_LINE)? else { return Ok(None) };
                    let digits = line.split(|byte| *byte == b';').next().unwrap_or(&line).trim_ascii();
                    let digits = std::str::from_utf8(digits).unwrap_or("");
                    let hex = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
                    let size = usize::from_str_radix(digits, 16).ok().filter(|_| hex && digits.len() <= 8);
                    let size = size.ok_or(Broken::Form("the size of a chunk"))?;
                    self.0 = if size == 0 { At::Trailer } else { At::Chunk(size) };
                }
                At::ChunkEnd => {
                    let Some(line) = line(buf, LONGEST_CHUNK_LINE)? else { return Ok(None) };
                    if !line.is_empty() {
                        return Err(Broken::Form("the end of a chunk"));
                    }
                    self.0 = At::ChunkLine;
                }
                At::Trailer => {
                    let Some(line) = line(buf, LONGEST_HEAD)? else { return Ok(None) };
                    if line.is_empty() {
                        self.0 = At::Head;
                        return Ok(Some(Part::End));
                    }
                }
            }
        }
    }

    /// True where the end of the connection ends the answer properly.
    pub fn ends_here(&self) -> bool {
        self.0 == At::ToEnd
    }

    fn head(&mut self, buf: &mut BytesMut) -> Result<Option<Part>, Broken> {
        let window = &buf[..buf.len().min(LONGEST_HEAD)];
        let Some(end) = window.windows(4).position(|four| four == b"\r\n\r\n") else {
            return if buf.len() >= LONGEST_HEAD { Err(Broken::TooLong) } else { Ok(None) };
        };
        let head = buf.split_to(end + 4);
        let head = std::str::from_utf8(&head[..end]).map_err(|_| Broken::Form("a head is no text"))?;
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or("");
        let mut words = first.splitn(3, ' ');
        if !words.next().is_some_and(|version| version.starts_with("HTTP/1.")) {
            return Err(Broken::Form("no HTTP/1 answer"));
        }
        let status = words.next().filter(|digits| digits.len() == 3).and_then(|digits| digits.parse().ok());
        let status: u16 = status.ok_or(Broken::Form("the status"))?;
        let (mut length, mut chunked, mut last) = (None, false, false);
        for line in lines {
            let (name, value) = line.split_once(':').ok_or(Broken::Form("a header without a colon"))?;
            let value = value.trim();
            if name.eq_ignore_ascii_case("content-length") {
                let digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
                let value = value.parse::<usize>().ok().filter(|_| digits);
                let value = value.ok_or(Broken::Form("content-length"))?;
                if length.is_some_and(|length| length != value) {
                    return Err(Broken::Form("two lengths"));
                }
                length = Some(value);
            } else if name.eq_ignore_ascii_case("transfer-encoding") {
                chunked = value.eq_ignore_ascii_case("chunked");
            } else if name.eq_ignore_ascii_case("connection") {
                last = value.eq_ignore_ascii_case("close");
            }
        }
        let bare = status / 100 == 1 || status == 204 || status == 304;
        self.0 = match length {
            _ if bare => At::Counted(0),
            _ if chunked => At::ChunkLine,
            Some(length) => At::Counted(length),
            None => At::ToEnd,
        };
        Ok(Some(Part::Head { status, last: last || self.0 == At::ToEnd }))
    }
}

/// Splits one line off the front, without its end.
fn line(buf: &mut BytesMut, longest: usize) -> Result<Option<Bytes>, Broken> {
    let Some(end) = buf[..buf.len().min(longest)].iter().position(|byte| *byte == b'\n') else {
        return if buf.len() >= longest { Err(Broken::TooLong) } else { Ok(None) };
    };
    let mut line = buf.split_to(end + 1).freeze();
    line.truncate(if line[..end].ends_with(b"\r") { end - 1 } else { end });
    Ok(Some(line))
}

/// Puts the pieces of a body together again, up to a bound.
#[derive(Default)]
pub struct Body(BytesMut);

impl Body {
    pub fn add(&mut self, piece: &[u8]) -> Result<(), Broken> {
        if self.0.len() + piece.len() > LONGEST_BODY {
            return Err(Broken::TooLong);
        }
        self.0.extend_from_slice(piece);
        Ok(())
    }

    /// The next whole line of a stream.
    pub fn line(&mut self) -> Option<Bytes> {
        line(&mut self.0, usize::MAX).ok().flatten()
    }

    /// All of it.
    pub fn take(&mut self) -> Bytes {
        let whole = self.0.copy_to_bytes(self.0.len());
        self.0 = BytesMut::new();
        whole
    }
}

/// A call without a body.
pub fn get(host: &str, path: &str) -> Bytes {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").into()
}

/// A call with a body in JSON.
pub fn post(host: &str, path: &str, body: &str) -> Bytes {
    let length = body.len();
    let head = format!("POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n");
    format!("{head}Content-Length: {length}\r\n\r\n{body}").into()
}
