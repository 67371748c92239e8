//! A client of latchhaven's gateways. It keeps deadlines, retries only what may be retried, honours rejections, and
//! spreads its reconnects over time.
//!
//! Decisions are pure modules, driven alike by sockets and by simulated time:
//! - [`call`]: what one call does next, given the outcomes of its attempts.
//! - [`retry_budget`]: how many retries a process may make.
//! - [`pool`]: which connections are opened, kept and closed, and which call gets one.
//! - [`wire`]: the client side of the protocol; a parser without sockets.
//! - [`time`]: points in time and spans.
//!
//! [`client`] drives them on tokio, for the requests in [`request`] and as set up by [`config`].

pub mod call;
pub mod client;
pub mod config;
mod connection;
pub mod pool;
mod pool_driver;
pub mod request;
pub mod retry_budget;
pub mod time;
pub mod wire;

pub use call::Idempotency;
pub use client::{AttemptCounts, Client};
pub use config::ClientConfig;
pub use request::{
    IdempotentRequest, KeyedRequest, NonIdempotentOutcome, NonIdempotentRequest, RequestError, Value,
};
pub use time::{Millis, Timestamp};
