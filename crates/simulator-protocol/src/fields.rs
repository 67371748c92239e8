//! The name=value pairs of one line.

use crate::error::ProtocolError;
use base64::{Engine, engine::general_purpose::STANDARD};
use latchhaven_policy::{AttemptOutcome, LoadReport, Millis};
use std::str::FromStr;

/// Milliseconds in a second: the simulator's unit of time.
pub(crate) const MS_PER_S: f64 = 1000.0;
/// Fields whose text runs to the end of the line.
const REST_OF_LINE_FIELDS: [&str; 2] = ["params", "what"];
/// The text of an empty byte string.
const NO_BYTES: &str = "-";

/// The name=value pairs of one line.
pub struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    /// Splits the rest of a line, after the name of its message.
    ///
    /// # Errors
    /// A part that is not a name=value pair.
    pub fn parse(mut rest: &'a str) -> Result<Self, ProtocolError> {
        let mut pairs = Vec::new();
        while !rest.is_empty() {
            let part = rest.split(' ').next().unwrap_or(rest);
            let pair = part.split_once('=');
            let (name, value) = pair.ok_or_else(|| ProtocolError::NoPair(part.to_string()))?;
            if REST_OF_LINE_FIELDS.contains(&name) {
                pairs.push((name, &rest[name.len() + 1..]));
                break;
            }
            pairs.push((name, value));
            rest = rest.get(part.len() + 1..).unwrap_or("");
        }
        Ok(Fields(pairs))
    }

    /// A field's text, if it is present.
    #[must_use]
    pub fn optional(&self, name: &'static str) -> Option<&'a str> {
        self.0.iter().find(|(key, _)| *key == name).map(|(_, value)| *value)
    }

    /// A field's text.
    ///
    /// # Errors
    /// The field is missing or empty.
    pub fn text(&self, name: &'static str) -> Result<&'a str, ProtocolError> {
        self.optional(name).filter(|value| !value.is_empty()).ok_or(ProtocolError::Missing(name))
    }

    /// A number, if the field is present.
    ///
    /// # Errors
    /// The field is present and not such a number.
    pub fn optional_number<T: FromStr>(&self, name: &'static str) -> Result<Option<T>, ProtocolError> {
        let unreadable = |value: &str| ProtocolError::Unreadable(name, value.to_string());
        self.optional(name).map(|value| value.parse().map_err(|_| unreadable(value))).transpose()
    }

    /// A number.
    ///
    /// # Errors
    /// The field is missing or not such a number.
    pub fn number<T: FromStr>(&self, name: &'static str) -> Result<T, ProtocolError> {
        self.optional_number(name)?.ok_or(ProtocolError::Missing(name))
    }

    /// A time in seconds, as milliseconds.
    ///
    /// # Errors
    /// The field is missing or not a finite number.
    pub fn ms(&self, name: &'static str) -> Result<Millis, ProtocolError> {
        Ok(self.real(name)? * MS_PER_S)
    }

    pub(crate) fn optional_ms(&self, name: &'static str) -> Result<Option<Millis>, ProtocolError> {
        Ok(self.optional_real(name)?.map(|seconds| seconds * MS_PER_S))
    }

    pub(crate) fn real(&self, name: &'static str) -> Result<f64, ProtocolError> {
        self.optional_real(name)?.ok_or(ProtocolError::Missing(name))
    }

    pub(crate) fn optional_real(&self, name: &'static str) -> Result<Option<f64>, ProtocolError> {
        match self.optional_number::<f64>(name)? {
            Some(value) if !value.is_finite() => Err(ProtocolError::Unreadable(name, value.to_string())),
            value => Ok(value),
        }
    }

    pub(crate) fn flag(&self, name: &'static str) -> Result<bool, ProtocolError> {
        match self.optional(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(ProtocolError::Unreadable(name, value.to_string())),
        }
    }

    /// A field whose value is one of a few words.
    pub(crate) fn word<T>(
        &self, name: &'static str, read: impl Fn(&str) -> Option<T>,
    ) -> Result<T, ProtocolError> {
        let value = self.text(name)?;
        read(value).ok_or_else(|| ProtocolError::Unreadable(name, value.to_string()))
    }

    pub(crate) fn owned(&self, name: &'static str) -> Result<String, ProtocolError> {
        self.text(name).map(str::to_string)
    }

    pub(crate) fn outcome(&self) -> Result<AttemptOutcome, ProtocolError> {
        self.word("ending", |word| {
            Some(match word {
                "served" => AttemptOutcome::Success,
                "server_error" => AttemptOutcome::Error,
                "turned_away" => AttemptOutcome::Rejected,
                "no_answer" => AttemptOutcome::Timeout,
                "no_connection" => AttemptOutcome::ConnectFailed,
                "connection_lost" => AttemptOutcome::ConnectionLost,
                "called_off" => AttemptOutcome::Cancelled,
                "not_sent" => AttemptOutcome::NotSent,
                _ => return None,
            })
        })
    }

    pub(crate) fn load(&self) -> Result<LoadReport, ProtocolError> {
        let text = self.optional("metrics").unwrap_or("");
        let unreadable = || ProtocolError::Unreadable("metrics", text.to_string());
        let parse_pair = |pair: &str| {
            let (name, value) = pair.split_once(':').ok_or_else(unreadable)?;
            let value = value.parse::<f64>().ok().filter(|value| value.is_finite());
            Ok((name.to_string(), value.ok_or_else(unreadable)?))
        };
        text.split(',').filter(|pair| !pair.is_empty()).map(parse_pair).collect()
    }

    pub(crate) fn bytes(&self, name: &'static str) -> Result<Vec<u8>, ProtocolError> {
        let text = self.text(name)?;
        let encoded = if text == NO_BYTES { "" } else { text };
        STANDARD.decode(encoded).map_err(|_| ProtocolError::Unreadable(name, encoded.to_string()))
    }
}

/// The text of a byte string in a field.
pub(crate) fn encode_bytes(bytes: &[u8]) -> String {
    if bytes.is_empty() { NO_BYTES.to_string() } else { STANDARD.encode(bytes) }
}
