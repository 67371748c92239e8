//! A client of latchhaven's gateways. It enforces timeouts, retries only attempts that may be retried, waits as long as
//! rejections demand, and spreads reconnects over time.
//!
//! All decisions are in modules without I/O and clock, which run on sockets or in simulated time:
//! - `rules`: the rules and limits of calls, retries, reconnects and pools.
//! - [`call`]: decides the next step of a call, given the outcomes of its attempts.
//! - [`retry_budget`]: limits the number of retries that a process makes.
//! - [`pool`]: decides which connections are opened and closed, and which call gets one.
//! - [`wire`]: encodes queries and parses responses.
//! - [`time`]: timestamps on a monotonic and a wall clock.
//!
//! [`client`] runs these modules on tokio, for the requests in [`request`] and with the configuration in [`config`].

#![warn(clippy::pedantic)]
#![allow(clippy::cast_possible_truncation, reason = "lengths are bounded, and times in ms fit in 53 bits")]
#![allow(clippy::cast_precision_loss, reason = "counts and times in ms stay below 2^53")]
#![allow(clippy::cast_sign_loss, reason = "times that are cast are checked to be positive")]

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
