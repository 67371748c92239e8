//! xDS control plane for proxies: resources built from the proxy configuration, discovery streams, load reports (LRS),
//! and the gRPC server.
//!
//! - [`resources`]: clusters, endpoints, listeners and routes, each encoded once for each version.
//! - [`stream`]: a state machine without I/O for one discovery stream: subscriptions, ACK and NACK, and the next
//!   response.
//! - [`admission`]: admits new streams at a bounded rate and up to a maximum number, without I/O.
//! - [`load_stats`]: parses load reports, without I/O.
//! - [`codec`]: the gRPC codec. It sends responses as encoded chunks, which several streams share.
//! - [`server`]: the gRPC server, which passes messages between connections and the modules above.
//! - [`limits`]: limits and timeouts of all modules.

#![warn(clippy::pedantic)]
#![allow(clippy::cast_precision_loss, reason = "times in s are far below 2^53")]
#![allow(clippy::cast_possible_truncation, reason = "casts of floats saturate, hashes may be shortened")]

pub mod admission;
pub mod codec;
pub mod limits;
pub mod load_stats;
pub mod resources;
pub mod server;
pub mod stream;

pub use envoy_types::pb;
