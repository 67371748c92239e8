//! PostgreSQL's protocol, version 3, both sides, as far as simple queries go.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use latchhaven_policy::{LoadReport, Millis};
use std::ops::Range;

/// The longest message: 64 KiB of value in hex, and the statement round it.
const LONGEST: usize = 2 * 65536 + 8192;
/// The longest row of a server: values of 400,000 bytes were met, and what is said to be far longer is noise.
const LONGEST_ROW: usize = 512 * 1024;
/// The longest message of a server that is no row.
const LONGEST_SMALL: usize = 8192;
/// Figures of a load report are below this.
const LOAD_MOST: f64 = 1e6;
/// Bytes that describe a column, after its name.
const COLUMN: usize = 18;
/// The statements that go on to servers, but for the item and the value.
const READS: &str = "SELECT doc FROM items WHERE id = '";
const WRITES: &str = "INSERT INTO items (id, doc) VALUES ('";
const RETURNS: &str = "') RETURNING doc";
/// The names that a comment may hold.
const NAMES: [&str; 7] = ["id", "c", "t", "d", "k", "r", "h"];
const LONGEST_WORD: usize = 128;
/// The largest value, in bytes.
const LARGEST_VALUE: usize = 65536;
/// The longest time in ms that a client may say it waits: an hour is no txn any more.
const LONGEST_WAIT: Millis = 3_600_000.0;
/// PostgreSQL's own limit of a startup packet.
const LONGEST_STARTUP: usize = 10_000;

const TLS: u32 = 80_877_103;
const GSS: u32 = 80_877_104;
const CANCEL: u32 = 80_877_102;

pub const TOO_MANY: &str = "53300";
pub const TWICE: &str = "42710";
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
            let Some((kind, mut body, _)) = framed(buf, LONGEST)? else { return Ok(None) };
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
    /// New with every txn; no two that are open have the same.
    pub id: Bytes,
    pub product: String,
    pub tenant: Option<String>,
    /// The item that it is about.
    pub item: Option<String>,
    /// An idempotency key stands there.
    pub keyed: bool,
    pub left: Millis,
    pub work: Option<Millis>,
    pub repeat: bool,
    pub write: bool,
}

/// Reads a statement in the one form that goes on to servers; the text says what is wrong with it.
pub fn statement(text: Bytes) -> Result<Statement, &'static str> {
    let line = std::str::from_utf8(&text).map_err(|_| "statement: not UTF-8")?;
    let (said, inside) = line.split_once(" /* ").ok_or("statement: no comment with id, c and d")?;
    let from = said.len() + 4;
    let inside =
        inside.strip_suffix(" */").ok_or("statement: its comment has no end, or something behind it")?;
    let write = said.starts_with("INSERT");
    let rest = said.strip_prefix(if write { WRITES } else { READS });
    let rest = rest.ok_or("statement: only the known SELECT and INSERT")?;
    let (item, rest) = rest.split_once('\'').ok_or("statement: the item has no end")?;
    if !is_word(item) {
        return Err("statement: the item is no word");
    }
    let value =
        if write { rest.strip_prefix(", '\\x").and_then(|rest| rest.strip_suffix(RETURNS)) } else { None };
    let hex =
        |value: &str| value.len().is_multiple_of(2) && value.bytes().all(|byte| byte.is_ascii_hexdigit());
    match value {
        Some(value) if value.len() <= 2 * LARGEST_VALUE && hex(value) => {}
        None if !write && rest.is_empty() => {}
        _ => return Err("statement: not one value in hex, up to 64 KiB"),
    }
    let mut found: [Option<(usize, &str)>; NAMES.len()] = [None; NAMES.len()];
    let mut at = from;
    for part in inside.split(',') {
        let (name, value) = part.split_once('=').ok_or("comment: no name=value")?;
        let known = NAMES.iter().position(|known| *known == name).ok_or("comment: an unknown name")?;
        if found[known].replace((at + name.len() + 1, value)).is_some() {
            return Err("comment: a name stands twice");
        }
        if !is_word(value) {
            return Err("comment: a value is no word");
        }
        at += part.len() + 1;
    }
    let [id, product, tenant, left, key, repeat, work] = found;
    let number = |value: &str, most: f64| {
        let digits = value.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        value.parse::<f64>().ok().filter(|number| digits && (0.0..=most).contains(number))
    };
    let (id_at, id) = id.ok_or("comment: id is missing")?;
    let (_, product) = product.ok_or("comment: c is missing")?;
    let (left_at, digits) = left.ok_or("comment: d is missing")?;
    let left = number(digits, LONGEST_WAIT).filter(|left| *left >= 1.0 && !digits.contains('.'));
    let left = left.ok_or("comment: d is no sensible number of milliseconds")?;
    let work =
        work.map(|(_, us)| number(us, 1000.0 * LONGEST_WAIT).ok_or("comment: h is no sensible number"));
    if repeat.is_some_and(|(_, value)| !["0", "1"].contains(&value)) {
        return Err("comment: r is neither 0 nor 1");
    }
    Ok(Statement {
        digits: left_at..left_at + digits.len(),
        id: text.slice(id_at..id_at + id.len()),
        product: product.to_string(),
        tenant: tenant.map(|(_, tenant)| tenant.to_string()),
        item: Some(item.to_string()),
        keyed: key.is_some(),
        left,
        work: work.transpose()?.map(|us| us / 1000.0),
        repeat: repeat.is_some_and(|(_, value)| value == "1"),
        write,
        text,
    })
}

/// Names, keys, ids and items: nothing that could end a quote or a comment.
fn is_word(text: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"_-.:".contains(&byte);
    (1..=LONGEST_WORD).contains(&text.len()) && text.bytes().all(plain)
}

/// A query as it goes on to a server: `d` tells how long this gateway will wait. Four pieces for one write.
pub fn passed_on(statement: &Statement, wait: Millis) -> [Bytes; 4] {
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

/// Reads what a server writes, strictly: whatever is not as PROTOCOL has it is no answer, and nothing behind it can be
/// read. Lengths are checked as soon as they are there, so that no rest is waited for that may never come.
#[derive(Default)]
pub struct Backend {
    started: bool,
    described: Option<Bytes>,
    row: Option<Bytes>,
}

impl Backend {
    /// The next thing told, if its last byte has come.
    pub fn next(&mut self, buf: &mut BytesMut) -> Result<Option<Told>, Broken> {
        loop {
            let Some(kind) = buf.first().copied() else { return Ok(None) };
            let length = buf.get(1..5).and_then(|at| at.first_chunk::<4>()).map(|at| u32::from_be_bytes(*at));
            let (least, most) = match kind {
                b'R' | b'K' if !self.started => (8, LONGEST_SMALL),
                b'T' => (4 + 2 + 1 + COLUMN, LONGEST_SMALL),
                b'D' => (4 + 6, LONGEST_ROW),
                b'C' | b'E' | b'N' | b'S' => (5, LONGEST_SMALL),
                b'Z' => (5, 5),
                _ => return Err(Broken::Type(kind)),
            };
            if let Some(length) = length.map(|length| length as usize).filter(|n| !(least..=most).contains(n))
            {
                return Err(Broken::Length(length));
            }
            if kind == b'D' && buf.get(5..11).is_some_and(|head| !fits(head, length.unwrap_or(0))) {
                return Err(Broken::Form("not one row of one column"));
            }
            let Some((kind, body, raw)) = framed(buf, LONGEST_ROW)? else { return Ok(None) };
            match kind {
                b'R' if body[..] != [0; 4] => return Err(Broken::Form("a password is asked for")),
                b'T' if !describes(&body) || self.described.replace(raw.clone()).is_some() => {
                    return Err(Broken::Form("not one description of one column"));
                }
                b'D' if self.described.is_none() || self.row.replace(raw.clone()).is_some() => {
                    return Err(Broken::Form("not one row after its description"));
                }
                b'C' => match (self.described.take(), self.row.take()) {
                    (Some(described), Some(row)) if completes(&body) => {
                        return Ok(Some(Told::Value([described, row, raw])));
                    }
                    _ => return Err(Broken::Form("complete without a row, or not as it should read")),
                },
                // What has begun a row has run: no code says otherwise.
                b'E' if self.described.is_some() => return Err(Broken::Form("an error within an answer")),
                b'E' => {
                    let code = code(&body).ok_or(Broken::Form("an error that cannot be read"))?;
                    return Ok(Some(Told::Failed(code)));
                }
                b'S' => {
                    let mut texts = body.split(|byte| *byte == 0);
                    let mut text = || texts.next().and_then(|text| std::str::from_utf8(text).ok());
                    if let (Some(name), Some(value)) = (text(), text()) {
                        return Ok(Some(Told::Parameter(name.to_string(), value.to_string())));
                    }
                }
                b'Z' if self.described.is_some() => return Err(Broken::Form("ready within an answer")),
                b'Z' if body[..] != *b"I" => return Err(Broken::Form("not ready for a query of its own")),
                b'Z' => {
                    self.started = true;
                    return Ok(Some(Told::Ready));
                }
                _ => {}
            }
        }
    }
}

/// True where the head of a row has one column whose length fits the message's.
fn fits(head: &[u8], length: u32) -> bool {
    let column = head[2..].first_chunk::<4>().map(|at| i64::from(i32::from_be_bytes(*at)));
    head[..2] == [0, 1] && column.is_some_and(|column| column >= 0 && column + 10 == i64::from(length))
}

/// True where one column is described, given in binary.
fn describes(body: &[u8]) -> bool {
    let rest = body.strip_prefix(&[0, 1]).unwrap_or_default();
    let name = rest.iter().position(|byte| *byte == 0);
    let format = name.map(|name| &rest[name + 1..]).filter(|rest| rest.len() == COLUMN);
    let plain = name.is_some_and(|name| name > 0 && rest[..name].iter().all(|byte| byte.is_ascii_graphic()));
    plain && format.is_some_and(|rest| rest.ends_with(&[0, 1]))
}

/// True where one row was read or written.
fn completes(body: &[u8]) -> bool {
    matches!(body, b"SELECT 1\0" | b"INSERT 0 1\0")
}

/// The code of an ErrorResponse that can be read whole.
fn code(body: &[u8]) -> Option<String> {
    let mut fields = body.strip_suffix(&[0, 0])?.split(|byte| *byte == 0);
    let read = |field: &[u8]| {
        let (kind, text) = field.split_first()?;
        Some((*kind, std::str::from_utf8(text).ok()?.to_string())).filter(|_| kind.is_ascii_alphabetic())
    };
    let fields = fields.by_ref().map(read).collect::<Option<Vec<_>>>()?;
    let one = |wanted: u8| {
        let mut of = fields.iter().filter(|(kind, _)| *kind == wanted).map(|(_, text)| text.clone());
        of.next().filter(|_| of.next().is_none())
    };
    (one(b'S').is_some() && one(b'M').is_some()).then_some(())?;
    one(b'C').filter(|code| code.len() == 5 && code.bytes().all(|byte| byte.is_ascii_alphanumeric()))
}

/// Splits one typed message off the front: its type, its body, and all of it.
fn framed(buf: &mut BytesMut, longest: usize) -> Result<Option<(u8, Bytes, Bytes)>, Broken> {
    let Some(length) = buf.get(1..5).and_then(|at| at.first_chunk::<4>()) else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if !(4..=longest).contains(&length) {
        return Err(Broken::Length(length));
    }
    if buf.len() < 1 + length {
        return Ok(None);
    }
    let raw = buf.split_to(1 + length).freeze();
    Ok(Some((raw[0], raw.slice(5..), raw)))
}

/// The length of the typed message whose head has come, all of it.
pub fn length(buf: &[u8]) -> usize {
    buf.get(1..5).and_then(|at| at.first_chunk::<4>()).map_or(0, |at| 1 + u32::from_be_bytes(*at) as usize)
}

/// The value of a row of one column as text.
pub fn text_of(row: &Bytes) -> Option<&str> {
    std::str::from_utf8(row.get(11..)?).ok()
}

/// A load report: `inflight=7,util=0.61`. One that cannot be read whole, or makes no sense, is none.
pub fn load(text: &str) -> LoadReport {
    let figure = |pair: &str| {
        let (name, value) = pair.split_once('=')?;
        let value = value.trim().parse::<f64>().ok().filter(|value| (0.0..=LOAD_MOST).contains(value))?;
        Some((name.trim().to_string(), value)).filter(|(name, _)| !name.is_empty())
    };
    text.split(',').map(figure).collect::<Option<LoadReport>>().unwrap_or_default()
}
