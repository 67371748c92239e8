//! Protocols as state machines that are fed bytes, without sockets or clocks. Sizes are bounded by
//! [`limits::messages`](crate::limits::messages).

pub mod http;
pub mod json;
pub mod pg;
