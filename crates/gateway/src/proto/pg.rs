//! PostgreSQL's protocol, version 3, both sides, as far as simple queries go.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use latchhaven::api::Ms;
use std::ops::Range;

/// The longest message: 64 KiB of value in hex, and the statement round it.
const LONGEST: usize = 2 * 65536 + 8192;
/// PostgreSQL's own limit of a startup packet.
const LONGEST_STARTUP: usize = 10_000;

const TLS: u32 = 80_877_103;
const GSS: u32 = 80_877_104;
const CANCEL: u32 = 80_877_102;

pub const TOO_MANY: &str = "53300";
pub const STARTING: &str = "57P03";
pub const PROTOCOL: &str = "08P01";
pub const SYNTAX: &str = "42601";
pub const UNSUPPORTED: &str = "0A000";
pub const INTERNAL: &str = "XX000";

/// Why a stream is out of step: nothing after this can be read.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Broken {
    #[error("length {0} of a message is out of bounds")]
    Length(usize),
    #[error("message type {0:#04x} is unknown here")]
    Type(u8),
    #[error("version {0} of the protocol is unknown")]
    Version(u32),
    #[error("a message is malformed: {0}")]
    Form(&'static str),
}

/// What a client asks.
#[derive(Clone, Debug, PartialEq)]
pub enum Asked {
    /// SSLRequest or GSSENCRequest.
    Encryption,
    Cancel,
    Startup,
    /// A simple query, without its terminator.
    Query(Bytes),
    Sync,
    /// The first message of the extended protocol before a Sync.
    Extended,
    Terminate,
}

/// Reads what a client writes.
#[derive(Default)]
pub struct Frontend {
    started: bool,
    skipping: bool,
}

impl Frontend {
    /// The next thing asked, if its last byte has come.
    pub fn next(&mut self, buf: &mut BytesMut) -> Result<Option<Asked>, Broken> {
        if !self.started {
            return self.startup(buf);
        }
        loop {
            // An unknown type tells at once that the stream is out of step: no wait for its length.
            let Some(kind) = buf.first().copied() else { return Ok(None) };
            if !b"QXSPBDECFHdcfp".contains(&kind) {
                return Err(Broken::Type(kind));
            }
            let Some((kind, mut body, _)) = framed(buf)? else { return Ok(None) };
            match kind {
                b'X' => return Ok(Some(Asked::Terminate)),
                b'S' => {
                    self.skipping = false;
                    return Ok(Some(Asked::Sync));
                }
                _ if self.skipping => {}
                b'Q' => {
                    if body.last() != Some(&0) || body[..body.len() - 1].contains(&0) {
                        return Err(Broken::Form("a query ends with its only zero byte"));
                    }
                    body.truncate(body.len() - 1);
                    return Ok(Some(Asked::Query(body)));
                }
                b'p' | b'd' | b'c' | b'f' => {}
                _ => {
                    self.skipping = true;
                    return Ok(Some(Asked::Extended));
                }
            }
        }
    }

    fn startup(&mut self, buf: &mut BytesMut) -> Result<Option<Asked>, Broken> {
        let Some(length) = buf.first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if !(8..=LONGEST_STARTUP).contains(&length) {
            return Err(Broken::Length(length));
        }
        if buf.len() < length {
            return Ok(None);
        }
        let mut packet = buf.split_to(length);
        packet.advance(4);
        match packet.get_u32() {
            TLS | GSS if packet.is_empty() => Ok(Some(Asked::Encryption)),
            CANCEL => Ok(Some(Asked::Cancel)),
            version if version >> 16 == 3 => {
                self.started = true;
                Ok(Some(Asked::Startup))
            }
            version => Err(Broken::Version(version)),
        }
    }
}

/// A txn's statement and what its comment tells.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    pub text: Bytes,
    /// Where the digits of `d` stand.
    pub digits: Range<usize>,
    pub product: String,
    pub tenant: Option<String>,
    /// The item that it is about.
    pub item: Option<String>,
    pub left: Ms,
    pub work: Option<Ms>,
    pub repeat: bool,
    pub write: bool,
}

/// Reads a statement; the text says what is wrong with it.
pub fn statement(text: Bytes) -> Result<Statement, &'static str> {
    let line = std::str::from_utf8(&text).map_err(|_| "statement: not UTF-8")?;
    let write = line.starts_with("INSERT INTO ");
    if !write && !line.starts_with("SELECT ") {
        return Err("statement: only SELECT and INSERT are known here");
    }
    // The comment is the last one: a value may well hold what looks like the beginning of one.
    let open = line.rfind("/*").ok_or("statement: no comment with id, c and d")?;
    let inside = &line[open + 2..];
    let close = inside.find("*/").ok_or("statement: its comment has no end")?;
    if !inside[close + 2..].trim().is_empty() {
        return Err("statement: something stands behind its comment");
    }
    let (mut id, mut product, mut tenant, mut digits) = (None, None, None, None);
    let (mut left, mut work, mut repeat, mut at) = (0.0, None, false, open + 2);
    for part in inside[..close].split(',') {
        let from = at;
        at += part.len() + 1;
        let Some((name, value)) = part.split_once('=') else { return Err("comment: no name=value") };
        let value_at = from + name.len() + 1;
        let (value, name) = (value.trim(), name.trim());
        let whole = || value.parse::<u32>().ok().filter(|_| value.bytes().all(|byte| byte.is_ascii_digit()));
        match name {
            "id" => id = Some(value),
            "c" => product = Some(value.to_string()),
            "t" => tenant = Some(value.to_string()),
            "d" => {
                left = f64::from(whole().ok_or("comment: d is no whole number of milliseconds")?);
                let skipped = line[value_at..].find(value).unwrap_or(0);
                digits = Some(value_at + skipped..value_at + skipped + value.len());
            }
            "h" => {
                work = Some(
                    value
                        .parse::<f64>()
                        .ok()
                        .filter(|us| us.is_finite() && *us >= 0.0)
                        .ok_or("comment: h is no number of microseconds")?
                        / 1000.0,
                )
            }
            "r" => repeat = value == "1",
            _ => {}
        }
    }
    let item = line[..open].split('\'').nth(1).map(str::to_string);
    id.filter(|id| !id.is_empty()).ok_or("comment: id is missing")?;
    let product = product.filter(|name| !name.is_empty()).ok_or("comment: c is missing")?;
    let digits = digits.ok_or("comment: d is missing")?;
    let tenant = tenant.filter(|name| !name.is_empty());
    Ok(Statement { digits, product, tenant, item, left, work, repeat, write, text })
}

/// A query as it goes on to a server: `d` tells how long this gateway will wait. Four pieces for one write.
pub fn passed_on(statement: &Statement, wait: Ms) -> [Bytes; 4] {
    let digits = format!("{}", wait.max(1.0).floor());
    let (text, at) = (&statement.text, &statement.digits);
    let length = text.len() - at.len() + digits.len() + 5;
    let mut head = BytesMut::with_capacity(5);
    head.put_u8(b'Q');
    head.put_u32(length as u32);
    let mut tail = BytesMut::with_capacity(text.len() - at.end + 1);
    tail.put_slice(&text[at.end..]);
    tail.put_u8(0);
    [head.freeze(), text.slice(..at.start), Bytes::from(digits), tail.freeze()]
}

/// A plain query.
pub fn query(text: &str) -> Bytes {
    let mut out = BytesMut::with_capacity(text.len() + 6);
    out.put_u8(b'Q');
    out.put_u32(text.len() as u32 + 5);
    out.put_slice(text.as_bytes());
    out.put_u8(0);
    out.freeze()
}

/// The startup message to a server.
pub fn startup() -> Bytes {
    let names = b"user\0app\0database\0shop\0\0";
    let mut out = BytesMut::with_capacity(names.len() + 8);
    out.put_u32(names.len() as u32 + 8);
    out.put_u32(3 << 16);
    out.put_slice(names);
    out.freeze()
}

pub const READY: &[u8] = b"Z\0\0\0\x05I";
pub const EMPTY: &[u8] = b"I\0\0\0\x04";

/// What a client gets after its startup message.
pub fn greeting() -> Bytes {
    let mut out = BytesMut::new();
    out.put_slice(b"R\0\0\0\x08\0\0\0\0");
    for (name, value) in [
        ("server_version", "16.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        out.put_u8(b'S');
        out.put_u32((name.len() + value.len() + 6) as u32);
        for text in [name, value] {
            out.put_slice(text.as_bytes());
            out.put_u8(0);
        }
    }
    out.put_slice(b"K\0\0\0\x0c\0\0\0\0\0\0\0\0");
    out.put_slice(READY);
    out.freeze()
}

/// An ErrorResponse.
pub fn error(fatal: bool, code: &str, text: &str, detail: Option<String>) -> Bytes {
    let severity = if fatal { "FATAL" } else { "ERROR" };
    let mut fields = vec![(b'S', severity), (b'V', severity), (b'C', code), (b'M', text)];
    fields.extend(detail.as_deref().map(|detail| (b'D', detail)));
    let length = 5 + fields.iter().map(|(_, value)| value.len() + 2).sum::<usize>();
    let mut out = BytesMut::with_capacity(length + 1);
    out.put_u8(b'E');
    out.put_u32(length as u32);
    for (kind, value) in fields {
        out.put_u8(kind);
        out.put_slice(value.as_bytes());
        out.put_u8(0);
    }
    out.put_u8(0);
    out.freeze()
}

/// What a server tells.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// ReadyForQuery.
    Ready,
    /// One row of one column, whole: RowDescription, DataRow and CommandComplete as they came.
    Value([Bytes; 3]),
    /// An ErrorResponse with this code.
    Failed(String),
    /// A ParameterStatus.
    Parameter(String, String),
}

/// Reads what a server writes.
#[derive(Default)]
pub struct Backend {
    described: Option<Bytes>,
    row: Option<Bytes>,
}

impl Backend {
    /// The next thing told, if its last byte has come.
    pub fn next(&mut self, buf: &mut BytesMut) -> Result<Option<Told>, Broken> {
        loop {
            let Some(kind) = buf.first().copied() else { return Ok(None) };
            if !b"RSKTDCEZN".contains(&kind) {
                return Err(Broken::Type(kind));
            }
            let Some((kind, body, raw)) = framed(buf)? else { return Ok(None) };
            match kind {
                b'R' if body[..] != [0; 4] => return Err(Broken::Form("a password is asked for")),
                b'T' => {
                    let columns = body.first_chunk::<2>().map(|count| u16::from_be_bytes(*count));
                    if self.described.replace(raw).is_some() || columns != Some(1) {
                        return Err(Broken::Form("not one description of one column"));
                    }
                }
                b'D' => {
                    let column = body.first_chunk::<6>().is_some_and(|head| head[..2] == [0, 1]);
                    let length = body.get(2..6).and_then(|at| at.first_chunk::<4>());
                    let length = length.map_or(0, |length| i64::from(i32::from_be_bytes(*length)).max(0));
                    let fits = column && body.len() as i64 == 6 + length;
                    if self.described.is_none() || self.row.replace(raw).is_some() || !fits {
                        return Err(Broken::Form("not one row of one column"));
                    }
                }
                b'C' => match (self.described.take(), self.row.take()) {
                    (Some(described), Some(row)) => return Ok(Some(Told::Value([described, row, raw]))),
                    _ => return Err(Broken::Form("complete without a row")),
                },
                b'E' => {
                    (self.described, self.row) = (None, None);
                    let code = body.split(|byte| *byte == 0).find(|field| field.first() == Some(&b'C'));
                    let code = code.and_then(|field| std::str::from_utf8(&field[1..]).ok());
                    return Ok(Some(Told::Failed(code.unwrap_or("").to_string())));
                }
                b'S' => {
                    let mut texts = body.split(|byte| *byte == 0);
                    let mut text = || texts.next().and_then(|text| std::str::from_utf8(text).ok());
                    if let (Some(name), Some(value)) = (text(), text()) {
                        return Ok(Some(Told::Parameter(name.to_string(), value.to_string())));
                    }
                }
                b'Z' if self.described.is_some() => return Err(Broken::Form("ready within an answer")),
                b'Z' => return Ok(Some(Told::Ready)),
                _ => {}
            }
        }
    }
}

/// Splits one typed message off the front: its type, its body, and all of it.
fn framed(buf: &mut BytesMut) -> Result<Option<(u8, Bytes, Bytes)>, Broken> {
    let Some(length) = buf.get(1..5).and_then(|at| at.first_chunk::<4>()) else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if !(4..=LONGEST).contains(&length) {
        return Err(Broken::Length(length));
    }
    if buf.len() < 1 + length {
        return Ok(None);
    }
    let raw = buf.split_to(1 + length).freeze();
    Ok(Some((raw[0], raw.slice(5..), raw)))
}

/// The value of a row of one column as text.
pub fn text_of(row: &Bytes) -> Option<&str> {
    std::str::from_utf8(row.get(11..)?).ok()
}

/// A load report: `inflight=7,util=0.61`.
pub fn load(text: &str) -> Vec<(String, f64)> {
    let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    let pairs = pairs.filter_map(|(name, value)| Some((name, value.trim().parse::<f64>().ok()?)));
    pairs
        .filter(|(_, value)| value.is_finite())
        .map(|(name, value)| (name.trim().to_string(), value))
        .collect()
}
