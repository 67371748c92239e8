//! Stand-ins on loopback, for tests, the demonstration and the lab.
//!
//! - [`wire`]: hosts, list, platform and clients on PostgreSQL's protocol, and the program as a child.
//! - [`site`]: a list and a platform that hold a state, tell it, and take votes.
//! - [`cache`]: what a proxy that speaks xDS holds, as real ones do; pure.
//! - [`proxy`]: such a proxy on a socket.
//! - [`machine`]: a control service as a child, and what it uses.

// Until its turn: docs/ROADMAP.md.
#![allow(
    clippy::missing_errors_doc,
    clippy::missing_panics_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    missing_docs
)]

pub mod cache;
pub mod machine;
pub mod proxy;
pub mod site;
pub mod wire;
