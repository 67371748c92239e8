//! A client of latchhaven's gateways. It enforces timeouts, retries only what may be retried, honours rejections, and
//! spreads its reconnects over time.
//!
//! Decisions are pure modules, driven by sockets or by simulated time:
//! - `rules`: every rule and limit of calls, retries, reconnects and pools.
//! - [`call`]: what one call does next, given the outcomes of its attempts.
//! - [`retry_budget`]: how many retries a process may make.
//! - [`pool`]: which connections are opened, retained and closed, and which call gets one.
//! - [`wire`]: the client side of the protocol; a parser without sockets.
//! - [`time`]: points in time and spans.
//!
//! [`client`] drives them on tokio, for the requests in [`request`] and with the configuration in [`config`].

#![warn(clippy::pedantic)]
#![allow(clippy::cast_possible_truncation, reason = "lengths are bounded, and times in ms fit in 53 bits")]
#![allow(clippy::cast_precision_loss, reason = "counts and times in ms stay below 2^53")]
#![allow(clippy::cast_sign_loss, reason = "remaining times are checked to be positive")]

mod acquired_connection;
pub mod call;
pub mod client;
pub mod config;
mod connection;
pub mod pool;
mod pool_driver;
mod pool_messages;
pub mod request;
pub mod retry_budget;
mod rules;
pub mod time;
pub mod wire;

pub use call::Idempotency;
pub use client::{AttemptCounts, Client};
pub use config::ClientConfig;
pub use request::{
    IdempotentRequest, KeyedRequest, NonIdempotentOutcome, NonIdempotentRequest, RequestError, Value,
};
pub use time::{Millis, Timestamp};
