//! Calls to the discovery service for the endpoint list, without I/O: which calls are current, what becomes of their
//! answers, and which calls are to be started and aborted.
//!
//! - [`calls`]: identities and commands, and the calls that both clients make.
//! - [`ordered_client`]: the gateway's client. It watches from the version it holds and checks the order of lists.
//! - [`snapshot_client`]: the control plane's client. It fetches a snapshot first and watches from there; its owner
//!   checks the order of lists.
//! - [`list_version`]: the order of two lists.
//!
//! The clients record [`calls::DiscoveryCommand`]s; [`crate::net::discovery_tasks`] carries them out.

pub mod calls;
pub mod list_version;
pub mod ordered_client;
pub mod snapshot_client;
