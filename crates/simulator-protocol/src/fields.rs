//! Splits a line into fields and parses their values.

use crate::error::ProtocolError;
use base64::{Engine, engine::general_purpose::STANDARD};
use latchhaven_policy::{AttemptOutcome, LoadReport, Millis};
use std::str::FromStr;

/// The simulator states times in seconds.
pub(crate) const MS_PER_S: f64 = 1000.0;
/// Fields whose value extends to the end of the line and may contain spaces.
const REST_OF_LINE_FIELDS: [&str; 2] = ["params", "what"];
/// Value of a field with an empty byte string; an empty value would count as a missing field.
const EMPTY_BYTES: &str = "-";

/// The fields of one line: name=value pairs, separated by single spaces.
pub struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    /// Splits `rest`, the line without the name of its message.
    ///
    /// # Errors
    /// A part is not a name=value pair.
    pub fn parse(mut rest: &'a str) -> Result<Self, ProtocolError> {
        let mut pairs = Vec::new();
        while !rest.is_empty() {
            let part = rest.split(' ').next().unwrap_or(rest);
            let pair = part.split_once('=');
            let (name, value) = pair.ok_or_else(|| ProtocolError::NotAPair(part.to_string()))?;
            if REST_OF_LINE_FIELDS.contains(&name) {
                pairs.push((name, &rest[name.len() + 1..]));
                break;
            }
            pairs.push((name, value));
            rest = rest.get(part.len() + 1..).unwrap_or("");
        }
        Ok(Fields(pairs))
    }

    /// Returns the value of the first field with this name, `None` if there is none; the value may be empty.
    #[must_use]
    pub fn optional(&self, name: &'static str) -> Option<&'a str> {
        self.0.iter().find(|(key, _)| *key == name).map(|(_, value)| *value)
    }

    /// Returns the value of a required field, which is not empty.
    ///
    /// # Errors
    /// The field is missing or empty.
    pub fn text(&self, name: &'static str) -> Result<&'a str, ProtocolError> {
        self.optional(name).filter(|value| !value.is_empty()).ok_or(ProtocolError::Missing(name))
    }

    /// Parses the value of an optional field as a number; `None` if the field is missing.
    ///
    /// # Errors
    /// The value is not a number of the type `T`.
    pub fn optional_number<T: FromStr>(&self, name: &'static str) -> Result<Option<T>, ProtocolError> {
        let invalid_value = |value: &str| ProtocolError::InvalidValue(name, value.to_string());
        self.optional(name).map(|value| value.parse().map_err(|_| invalid_value(value))).transpose()
    }

    /// Parses the value of a required field as a number.
    ///
    /// # Errors
    /// The field is missing, or the value is not a number of the type `T`.
    pub fn number<T: FromStr>(&self, name: &'static str) -> Result<T, ProtocolError> {
        self.optional_number(name)?.ok_or(ProtocolError::Missing(name))
    }

    /// Parses the value of a required field, in seconds, and returns it in milliseconds.
    ///
    /// # Errors
    /// The field is missing, or the value is not a finite number.
    pub fn ms(&self, name: &'static str) -> Result<Millis, ProtocolError> {
        Ok(self.finite(name)? * MS_PER_S)
    }

    pub(crate) fn optional_ms(&self, name: &'static str) -> Result<Option<Millis>, ProtocolError> {
        Ok(self.optional_finite(name)?.map(|seconds| seconds * MS_PER_S))
    }

    pub(crate) fn finite(&self, name: &'static str) -> Result<f64, ProtocolError> {
        self.optional_finite(name)?.ok_or(ProtocolError::Missing(name))
    }

    pub(crate) fn optional_finite(&self, name: &'static str) -> Result<Option<f64>, ProtocolError> {
        match self.optional_number::<f64>(name)? {
            Some(value) if !value.is_finite() => Err(ProtocolError::InvalidValue(name, value.to_string())),
            value => Ok(value),
        }
    }

    pub(crate) fn flag(&self, name: &'static str) -> Result<bool, ProtocolError> {
        match self.optional(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(ProtocolError::InvalidValue(name, value.to_string())),
        }
    }

    /// Parses the value of a required field with `parse`, which returns `None` for an unknown keyword.
    pub(crate) fn keyword<T>(
        &self, name: &'static str, parse: impl Fn(&str) -> Option<T>,
    ) -> Result<T, ProtocolError> {
        let value = self.text(name)?;
        parse(value).ok_or_else(|| ProtocolError::InvalidValue(name, value.to_string()))
    }

    pub(crate) fn owned_text(&self, name: &'static str) -> Result<String, ProtocolError> {
        self.text(name).map(str::to_string)
    }

    pub(crate) fn outcome(&self) -> Result<AttemptOutcome, ProtocolError> {
        self.keyword("ending", |keyword| {
            Some(match keyword {
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
        let invalid_value = || ProtocolError::InvalidValue("metrics", text.to_string());
        let parse_pair = |pair: &str| {
            let (name, value) = pair.split_once(':').ok_or_else(invalid_value)?;
            let value = value.parse::<f64>().ok().filter(|value| value.is_finite());
            Ok((name.to_string(), value.ok_or_else(invalid_value)?))
        };
        text.split(',').filter(|pair| !pair.is_empty()).map(parse_pair).collect()
    }

    pub(crate) fn bytes(&self, name: &'static str) -> Result<Vec<u8>, ProtocolError> {
        let text = self.text(name)?;
        let encoded = if text == EMPTY_BYTES { "" } else { text };
        STANDARD.decode(encoded).map_err(|_| ProtocolError::InvalidValue(name, encoded.to_string()))
    }
}

/// Encodes a byte string as the value of a field, in base64.
pub(crate) fn encode_bytes(bytes: &[u8]) -> String {
    if bytes.is_empty() { EMPTY_BYTES.to_string() } else { STANDARD.encode(bytes) }
}
