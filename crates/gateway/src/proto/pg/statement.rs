//! Parser for the supported statements: one SELECT and one INSERT, each followed by a comment with the request's id,
//! class, timeout and optional parameters. Only statements of exactly this form are forwarded to endpoints.

use super::packed_value::{self, PackedValue};
use crate::clock::{MICROS_PER_MS, millis};
use crate::limits::messages::{
    MAX_IDENTIFIER_BYTES, MAX_REQUEST_TIMEOUT, MAX_VALUE_BYTES, MIN_REQUEST_TIMEOUT,
};
use bytes::Bytes;
use latchhaven_policy::Millis;
use std::ops::Range;

// The fixed parts of the statements, around the item and the value.
const SELECT_PREFIX: &str = "SELECT doc FROM items WHERE id = '";
const INSERT_PREFIX: &str = "INSERT INTO items (id, doc) VALUES ('";
const INSERT_SUFFIX: &str = "') RETURNING doc";
const COMMENT_START: &str = " /* ";
const COMMENT_END: &str = " */";
/// Hexadecimal digits of one byte of a value.
const DIGITS_PER_BYTE: usize = 2;

/// Why a statement is rejected. The client receives the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StatementError {
    /// The text is not UTF-8.
    #[error("statement: not UTF-8")]
    NotUtf8,
    /// No comment follows the statement.
    #[error("statement: no comment with id, c and d")]
    NoComment,
    /// The comment is not terminated, or is followed by other text.
    #[error("statement: its comment has no end, or there is text after it")]
    UnterminatedComment,
    /// The text before the comment does not begin like the SELECT or the INSERT.
    #[error("statement: only the known SELECT and INSERT")]
    UnknownStatement,
    /// The closing quote of the item is missing.
    #[error("statement: the item has no end")]
    UnterminatedItem,
    /// The item is empty, longer than [`MAX_IDENTIFIER_BYTES`], or has invalid characters.
    #[error("statement: the item is no word")]
    InvalidItem,
    /// The INSERT does not have exactly one value of hexadecimal digits, or the value is longer than
    /// [`MAX_VALUE_BYTES`]; or the SELECT does not end after the item.
    #[error("statement: not one value in hex, up to 64 KiB")]
    InvalidValue,
    /// An entry of the comment has no `=`; entries are separated by commas.
    #[error("comment: no name=value")]
    NotNameAndValue,
    /// The comment has an entry that this version of the gateway does not support.
    #[error("comment: an unknown name")]
    UnknownName,
    /// The comment has two entries with the same name.
    #[error("comment: duplicate name")]
    DuplicateName,
    /// A value in the comment is empty, longer than [`MAX_IDENTIFIER_BYTES`], or has invalid characters.
    #[error("comment: a value is no word")]
    InvalidEntryValue,
    /// The comment has no entry `id`, the request's id.
    #[error("comment: id is missing")]
    MissingId,
    /// The comment has no entry `c`, the request class.
    #[error("comment: c is missing")]
    MissingClass,
    /// The comment has no entry `d`, the timeout.
    #[error("comment: d is missing")]
    MissingTimeout,
    /// The timeout is not an integer, or is not between [`MIN_REQUEST_TIMEOUT`] and [`MAX_REQUEST_TIMEOUT`].
    #[error("comment: d is no sensible number of milliseconds")]
    InvalidTimeout,
    /// The retry flag is neither 0 nor 1.
    #[error("comment: r is neither 0 nor 1")]
    InvalidRetryFlag,
    /// The expected work is not a number without sign and exponent, or exceeds [`MAX_REQUEST_TIMEOUT`].
    #[error("comment: h is no sensible number")]
    InvalidExpectedWork,
}

/// A valid statement, with the parameters from its comment.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    /// The statement with its comment, as received from the client; without the digits of a packed value.
    pub text: Bytes,
    /// The byte range of the timeout's digits (`d`) in `text`; an attempt replaces them with the remaining time.
    pub timeout_digits: Range<usize>,
    /// The byte range of the value's hexadecimal digits in `text`; empty for a SELECT, and if the value is packed.
    pub value_digits: Range<usize>,
    /// The value whose digits belong at the start of `value_digits`, if it is stored in less memory than as text.
    pub packed_value: Option<PackedValue>,
    /// The request's id (`id`), set by the client; two pending requests may not have the same.
    pub id: Bytes,
    /// The name of the request class (`c`); may be unknown to the gateway.
    pub class: String,
    /// The tenant that sent the request (`t`), if stated.
    pub tenant: Option<String>,
    /// The id of the item that the statement reads or writes. Always set by the parser.
    pub item: Option<String>,
    /// Set when the comment has an idempotency key (`k`). Some classes require one.
    pub has_idempotency_key: bool,
    /// The time from the request's arrival to its deadline (`d`).
    pub timeout: Millis,
    /// The client's estimate of the execution time (`h`, in the comment in microseconds), if stated.
    pub expected_work: Option<Millis>,
    /// Set when the client states that this is a retry of an earlier request (`r=1`).
    pub is_retry: bool,
    /// `true` for the INSERT, `false` for the SELECT.
    pub is_write: bool,
}

impl Statement {
    /// Parses the text of a simple query, which must be complete.
    ///
    /// # Errors
    /// The text is not a supported statement: send the error to the client. The connection can continue, because the
    /// boundary of the message is known.
    pub fn parse(text: Bytes) -> Result<Statement, StatementError> {
        let line = std::str::from_utf8(&text).map_err(|_| StatementError::NotUtf8)?;
        let (sql, comment) = line.split_once(COMMENT_START).ok_or(StatementError::NoComment)?;
        let comment_offset = sql.len() + COMMENT_START.len();
        let comment = comment.strip_suffix(COMMENT_END).ok_or(StatementError::UnterminatedComment)?;
        let sql = Sql::parse(sql)?;
        let fields = CommentFields::parse(comment, comment_offset)?;

        let id = fields.id.ok_or(StatementError::MissingId)?;
        let class = fields.class.ok_or(StatementError::MissingClass)?;
        let timeout = fields.timeout.ok_or(StatementError::MissingTimeout)?;
        let timeout_ms = parse_timeout(timeout.value).ok_or(StatementError::InvalidTimeout)?;
        let is_retry = match fields.retry.map(|field| field.value) {
            None | Some("0") => false,
            Some("1") => true,
            Some(_) => return Err(StatementError::InvalidRetryFlag),
        };
        let expected_work = match fields.expected_work {
            Some(field) => Some(parse_work(field.value).ok_or(StatementError::InvalidExpectedWork)?),
            None => None,
        };
        Ok(Statement {
            timeout_digits: timeout.range(),
            value_digits: sql.value_digits,
            packed_value: None,
            // A slice would retain the memory of the text while the response is written.
            id: Bytes::copy_from_slice(&text[id.range()]),
            class: class.value.to_string(),
            tenant: fields.tenant.map(|field| field.value.to_string()),
            item: Some(sql.item.to_string()),
            has_idempotency_key: fields.idempotency_key.is_some(),
            timeout: timeout_ms,
            expected_work,
            is_retry,
            is_write: sql.is_write,
            text,
        })
    }

    /// Stores the statement in memory of its own: the digits of its value as the bytes that they represent, if they can
    /// be restored exactly.
    ///
    /// `reserve` gets the number of bytes, and returns what is dropped with the last part of the statement, such as a
    /// reservation of the memory.
    #[must_use]
    pub fn pack<R: Send + 'static>(mut self, reserve: impl FnOnce(usize) -> R) -> Statement {
        let Some(value) = PackedValue::decode(&self.text[self.value_digits.clone()]) else {
            let reservation = reserve(self.text.len());
            self.text = packed_value::with_reservation(self.text, reservation);
            return self;
        };
        let Range { start, end } = self.value_digits;
        let text = [&self.text[..start], &self.text[end..]].concat();
        let reservation = reserve(text.len() + value.memory());
        self.packed_value = Some(value.with_reservation(reservation));
        self.text = Bytes::from(text);
        let removed = end - start;
        self.timeout_digits = self.timeout_digits.start - removed..self.timeout_digits.end - removed;
        self.value_digits = start..start;
        self
    }
}

/// A statement without its comment.
struct Sql<'a> {
    item: &'a str,
    is_write: bool,
    /// The byte range of the value's digits, empty for a SELECT.
    value_digits: Range<usize>,
}

impl<'a> Sql<'a> {
    fn parse(sql: &'a str) -> Result<Self, StatementError> {
        let is_write = sql.starts_with("INSERT");
        let prefix = if is_write { INSERT_PREFIX } else { SELECT_PREFIX };
        let rest = sql.strip_prefix(prefix).ok_or(StatementError::UnknownStatement)?;
        let (item, rest) = rest.split_once('\'').ok_or(StatementError::UnterminatedItem)?;
        if !is_identifier(item) {
            return Err(StatementError::InvalidItem);
        }
        let digits = if is_write { insert_digits(rest) } else { rest.is_empty().then_some(rest) };
        let digits = digits.ok_or(StatementError::InvalidValue)?;
        let end = if is_write { sql.len() - INSERT_SUFFIX.len() } else { sql.len() };
        Ok(Sql { item, is_write, value_digits: end - digits.len()..end })
    }
}

/// The digits in `rest`, the INSERT after the closing quote of the item, if that is one valid value in hex, without
/// comment.
fn insert_digits(rest: &str) -> Option<&str> {
    let digits = rest.strip_prefix(", '\\x").and_then(|rest| rest.strip_suffix(INSERT_SUFFIX))?;
    let is_valid = digits.len() <= DIGITS_PER_BYTE * MAX_VALUE_BYTES
        && digits.len().is_multiple_of(DIGITS_PER_BYTE)
        && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_valid.then_some(digits)
}

#[derive(Clone, Copy)]
struct CommentField<'a> {
    value: &'a str,
    /// The position of the value in the statement, in bytes.
    offset: usize,
}

impl CommentField<'_> {
    fn range(&self) -> Range<usize> {
        self.offset..self.offset + self.value.len()
    }
}

#[derive(Default)]
struct CommentFields<'a> {
    id: Option<CommentField<'a>>,
    class: Option<CommentField<'a>>,
    tenant: Option<CommentField<'a>>,
    timeout: Option<CommentField<'a>>,
    idempotency_key: Option<CommentField<'a>>,
    retry: Option<CommentField<'a>>,
    expected_work: Option<CommentField<'a>>,
}

impl<'a> CommentFields<'a> {
    /// Parses the text between the delimiters of a comment. `offset` is the position of this text in the statement,
    /// in bytes.
    fn parse(comment: &'a str, offset: usize) -> Result<Self, StatementError> {
        let mut fields = CommentFields::default();
        let mut entry_offset = offset;
        for entry in comment.split(',') {
            let (name, value) = entry.split_once('=').ok_or(StatementError::NotNameAndValue)?;
            let field = fields.field_mut(name).ok_or(StatementError::UnknownName)?;
            let value_offset = entry_offset + name.len() + 1;
            if field.replace(CommentField { value, offset: value_offset }).is_some() {
                return Err(StatementError::DuplicateName);
            }
            if !is_identifier(value) {
                return Err(StatementError::InvalidEntryValue);
            }
            entry_offset += entry.len() + 1;
        }
        Ok(fields)
    }

    fn field_mut(&mut self, name: &str) -> Option<&mut Option<CommentField<'a>>> {
        match name {
            "id" => Some(&mut self.id),
            "c" => Some(&mut self.class),
            "t" => Some(&mut self.tenant),
            "d" => Some(&mut self.timeout),
            "k" => Some(&mut self.idempotency_key),
            "r" => Some(&mut self.retry),
            "h" => Some(&mut self.expected_work),
            _ => None,
        }
    }
}

/// Parses an integer number of milliseconds.
fn parse_timeout(digits: &str) -> Option<Millis> {
    let timeout = parse_number(digits, millis(MAX_REQUEST_TIMEOUT))?;
    (timeout >= millis(MIN_REQUEST_TIMEOUT) && !digits.contains('.')).then_some(timeout)
}

/// Parses a number of microseconds.
fn parse_work(micros: &str) -> Option<Millis> {
    parse_number(micros, MICROS_PER_MS * millis(MAX_REQUEST_TIMEOUT)).map(|micros| micros / MICROS_PER_MS)
}

/// Parses a number from 0 to `max` without sign and exponent.
fn parse_number(text: &str, max: f64) -> Option<f64> {
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number = text.parse::<f64>().ok()?;
    (is_plain && (0.0..=max).contains(&number)).then_some(number)
}

/// Returns `true` for a valid name, key, id or item. None of the allowed characters can end a quoted string or a
/// comment.
fn is_identifier(text: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"_-.:".contains(&byte);
    (1..=MAX_IDENTIFIER_BYTES).contains(&text.len()) && text.bytes().all(is_plain)
}
