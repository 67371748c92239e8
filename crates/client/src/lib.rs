//! A client of latchhaven's gateways that keeps deadlines, repeats only what may be repeated, honours refusals and
//! comes back over time.
//!
//! Decisions are pure modules, driven alike by sockets and by simulated time:
//! - [`call`]: what one call does next, given how its tries ended.
//! - [`budget`]: how many tries beyond the first a process may make.
//! - [`pool`]: which connections are opened, kept and closed, and who gets one.
//! - [`wire`]: the clients' side of the protocol; a parser that knows no socket.
//!
//! [`client`] is the thin driver round them on tokio.

// Until its turn: docs/ROADMAP.md.
#![allow(missing_docs)]

pub mod budget;
pub mod call;
pub mod client;
pub mod pool;
pub mod wire;

pub use call::{Effect, Moment, Ms};
pub use client::{Client, Failure, InquiryLike, Once, OnceOnly, Referenced, Terms, Value};
