//! Protocol parsers and encoders without sockets or clocks: callers read bytes into a buffer and pass it to a parser.
//! Message sizes are bounded by [`limits::messages`](crate::limits::messages).

pub mod http;
pub mod json;
pub mod pg;
