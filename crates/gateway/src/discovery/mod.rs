//! Calls to the discovery service for the endpoint list, without I/O: which calls are current, which of their lists are
//! applied, and which calls are started and aborted.
//!
//! - [`calls`]: identities and commands, and the calls that both clients make.
//! - [`ordered_client`]: the gateway's client. It watches from the current version and checks the order of lists.
//! - [`snapshot_client`]: the control plane's client. It fetches a snapshot first and watches from its version; its
//!   owner checks the order of lists.
//! - [`list_version`]: the order of two lists.
//!
//! The clients record [`calls::DiscoveryCommand`]s; [`crate::net::discovery_tasks`] executes them.

pub mod calls;
pub mod list_version;
pub mod ordered_client;
pub mod snapshot_client;
