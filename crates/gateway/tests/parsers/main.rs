//! Parsers and their helpers: input split at every position, and malformed, oversized and truncated input.

#![warn(clippy::pedantic)]
#![allow(clippy::cast_precision_loss, clippy::cast_possible_truncation, reason = "the test data is small")]

mod arrivals;
mod http;
mod json;
mod messages;
mod postgres;
mod robustness;
mod statements;
mod support;
