//! xDS for proxies: the proxy configuration as resources, streams as state machines, and the gRPC server around them.
//!
//! - [`resources`]: clusters, endpoints, listeners and routes, each encoded once for each version.
//! - [`stream`]: one stream of one proxy, without I/O: its subscriptions, its resources, and the next response.
//! - [`admission`]: when a stream may begin, without I/O: the rate of new streams and their number are bounded.
//! - [`load_stats`]: parses load reports, without I/O.
//! - [`codec`]: the gRPC codec, whose responses are chunks that several streams share.
//! - [`server`]: the gRPC server. It makes no decisions of its own.
//! - [`limits`]: limits and rules of all modules.

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
