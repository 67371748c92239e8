//! xDS: the resources of a handout, streams as state machines, and thin gRPC drivers round them.
//!
//! - [`resources`]: a handout as clusters, endpoints, listeners and routes, each encoded once a version.
//! - [`stream`]: one stream of one proxy, pure: what it asks, what it holds, what it is sent next.
//! - [`admission`]: when a stream may begin, pure: known proxies first, the rest at a bounded rate.
//! - [`load_stats`]: load reports read into figures, pure.
//! - [`server`]: the gRPC driver. It decides nothing.

// Until its turn: docs/ROADMAP.md.
#![allow(clippy::missing_panics_doc, clippy::too_many_lines, missing_docs)]

pub mod admission;
pub mod codec;
pub mod load_stats;
pub mod resources;
pub mod server;
pub mod stream;

pub use envoy_types::pb;
