//! The gateway: clients, servers, the list and the platform on sockets, round the decisions of `latchhaven`.

// Until its turn: docs/ROADMAP.md.
#![allow(clippy::missing_errors_doc, clippy::too_many_lines, missing_docs)]

pub mod arrivals;
pub mod config;
pub mod counters;
pub mod discovery;
pub mod gateway;
pub mod net;
pub mod proto;
pub mod serve;
