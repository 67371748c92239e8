//! Protocols as state machines that are fed bytes; they know no socket and no clock.

pub mod http;
pub mod json;
pub mod pg;
