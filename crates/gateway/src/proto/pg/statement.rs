//! Statements that are routed: one SELECT and one INSERT, with a comment that contains the request's id, class and
//! timeout. Only statements of exactly this form are forwarded.

use crate::clock::{MICROS_PER_MS, millis};
use crate::limits::messages::{
    MAX_IDENTIFIER_BYTES, MAX_REQUEST_TIMEOUT, MAX_VALUE_BYTES, MIN_REQUEST_TIMEOUT,
};
use bytes::Bytes;
use latchhaven_policy::Millis;
use std::ops::Range;

/// The statements without the item and the value.
const SELECT_PREFIX: &str = "SELECT doc FROM items WHERE id = '";
const INSERT_PREFIX: &str = "INSERT INTO items (id, doc) VALUES ('";
const INSERT_SUFFIX: &str = "') RETURNING doc";
/// The delimiters of the comment.
const COMMENT_START: &str = " /* ";
const COMMENT_END: &str = " */";

/// Why a statement is rejected; the text is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StatementError {
    /// The text is not UTF-8.
    #[error("statement: not UTF-8")]
    NotUtf8,
    /// There is no comment.
    #[error("statement: no comment with id, c and d")]
    NoComment,
    /// The comment has no end, or there is text after it.
    #[error("statement: its comment has no end, or there is text after it")]
    UnterminatedComment,
    /// It is neither the SELECT nor the INSERT.
    #[error("statement: only the known SELECT and INSERT")]
    UnknownStatement,
    /// The quote of the item has no end.
    #[error("statement: the item has no end")]
    UnterminatedItem,
    /// The item has invalid characters or an invalid length.
    #[error("statement: the item is no word")]
    InvalidItem,
    /// There is not one value in hex, or it is too long.
    #[error("statement: not one value in hex, up to 64 KiB")]
    InvalidValue,
    /// A part of the comment is not `name=value`.
    #[error("comment: no name=value")]
    NotNameAndValue,
    /// A name in the comment is not known.
    #[error("comment: an unknown name")]
    UnknownName,
    /// A name in the comment is used twice.
    #[error("comment: duplicate name")]
    DuplicateName,
    /// A value in the comment has invalid characters or an invalid length.
    #[error("comment: a value is no word")]
    InvalidWord,
    /// The request has no id.
    #[error("comment: id is missing")]
    MissingId,
    /// The request has no class.
    #[error("comment: c is missing")]
    MissingClass,
    /// The request has no timeout.
    #[error("comment: d is missing")]
    MissingTimeout,
    /// The timeout is not an integer number of ms, or out of range.
    #[error("comment: d is no sensible number of milliseconds")]
    InvalidTimeout,
    /// The retry flag is neither 0 nor 1.
    #[error("comment: r is neither 0 nor 1")]
    InvalidRetryFlag,
    /// The expected work is not a number, or out of range.
    #[error("comment: h is no sensible number")]
    InvalidExpectedWork,
}

/// A statement and the parameters in its comment.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    /// The statement as the client wrote it.
    pub text: Bytes,
    /// The position of the timeout's digits (`d`) in the text.
    pub timeout_digits: Range<usize>,
    /// The id that the client chose (`id`); unique among pending requests.
    pub id: Bytes,
    /// The name of the request's class (`c`).
    pub class: String,
    /// The tenant (`t`).
    pub tenant: Option<String>,
    /// The item that it reads or writes.
    pub item: Option<String>,
    /// It has an idempotency key (`k`).
    pub has_idempotency_key: bool,
    /// The timeout in ms (`d`).
    pub timeout: Millis,
    /// The expected work in ms (`h`, there in microseconds).
    pub expected_work: Option<Millis>,
    /// It is a retry of an earlier request (`r`).
    pub is_retry: bool,
    /// It is the INSERT.
    pub is_write: bool,
}

impl Statement {
    /// Parses a statement.
    ///
    /// # Errors
    /// The text does not have the form of a routed statement.
    pub fn parse(text: Bytes) -> Result<Statement, StatementError> {
        let line = std::str::from_utf8(&text).map_err(|_| StatementError::NotUtf8)?;
        let (sql, comment) = line.split_once(COMMENT_START).ok_or(StatementError::NoComment)?;
        let comment_at = sql.len() + COMMENT_START.len();
        let comment = comment.strip_suffix(COMMENT_END).ok_or(StatementError::UnterminatedComment)?;
        let sql = Sql::parse(sql)?;
        let fields = CommentFields::parse(comment, comment_at)?;

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
            id: text.slice(id.range()),
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
}

/// The statement without its comment.
struct Sql<'a> {
    item: &'a str,
    is_write: bool,
}

impl<'a> Sql<'a> {
    fn parse(sql: &'a str) -> Result<Self, StatementError> {
        let is_write = sql.starts_with("INSERT");
        let prefix = if is_write { INSERT_PREFIX } else { SELECT_PREFIX };
        let rest = sql.strip_prefix(prefix).ok_or(StatementError::UnknownStatement)?;
        let (item, rest) = rest.split_once('\'').ok_or(StatementError::UnterminatedItem)?;
        if !is_word(item) {
            return Err(StatementError::InvalidItem);
        }
        let is_valid = if is_write { is_insert_value(rest) } else { rest.is_empty() };
        if !is_valid {
            return Err(StatementError::InvalidValue);
        }
        Ok(Sql { item, is_write })
    }
}

/// The rest of an INSERT after its item is one value in hex.
fn is_insert_value(rest: &str) -> bool {
    let value = rest.strip_prefix(", '\\x").and_then(|rest| rest.strip_suffix(INSERT_SUFFIX));
    value.is_some_and(|value| {
        value.len() <= 2 * MAX_VALUE_BYTES
            && value.len().is_multiple_of(2)
            && value.bytes().all(|byte| byte.is_ascii_hexdigit())
    })
}

/// A value in the comment, and its position in the statement.
#[derive(Clone, Copy)]
struct CommentField<'a> {
    value: &'a str,
    offset: usize,
}

impl CommentField<'_> {
    fn range(&self) -> Range<usize> {
        self.offset..self.offset + self.value.len()
    }
}

/// The fields of a comment.
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
    /// Parses the inside of a comment, which is at `offset` in its statement.
    fn parse(comment: &'a str, offset: usize) -> Result<Self, StatementError> {
        let mut fields = CommentFields::default();
        let mut part_at = offset;
        for part in comment.split(',') {
            let (name, value) = part.split_once('=').ok_or(StatementError::NotNameAndValue)?;
            let field = fields.field_mut(name).ok_or(StatementError::UnknownName)?;
            let value_at = part_at + name.len() + 1;
            if field.replace(CommentField { value, offset: value_at }).is_some() {
                return Err(StatementError::DuplicateName);
            }
            if !is_word(value) {
                return Err(StatementError::InvalidWord);
            }
            part_at += part.len() + 1;
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

/// An integer number of ms.
fn parse_timeout(digits: &str) -> Option<Millis> {
    let timeout = parse_number(digits, millis(MAX_REQUEST_TIMEOUT))?;
    (timeout >= millis(MIN_REQUEST_TIMEOUT) && !digits.contains('.')).then_some(timeout)
}

/// Microseconds, as ms.
fn parse_work(micros: &str) -> Option<Millis> {
    parse_number(micros, MICROS_PER_MS * millis(MAX_REQUEST_TIMEOUT)).map(|micros| micros / MICROS_PER_MS)
}

/// A number from 0 to `max` without sign or exponent.
fn parse_number(text: &str, max: f64) -> Option<f64> {
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number = text.parse::<f64>().ok()?;
    (is_plain && (0.0..=max).contains(&number)).then_some(number)
}

/// A valid name, key, id or item: it cannot end a quote or a comment.
fn is_word(text: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"_-.:".contains(&byte);
    (1..=MAX_IDENTIFIER_BYTES).contains(&text.len()) && text.bytes().all(is_plain)
}
