//! Parsers with input split at every position, and with malformed, oversized and truncated input.

mod arrivals;
mod http;
mod json;
mod messages;
mod postgres;
mod robustness;
mod statements;
mod support;
