//! Clients of the discovery service, without I/O. Both decide which calls for the endpoint list are started and
//! aborted, and which of the delivered lists are applied.
//!
//! - [`calls`]: ids of calls, and the commands that start and abort calls.
//! - [`ordered_client`]: the gateway's client, which watches from the current version and checks the order of lists.
//! - [`snapshot_client`]: the control plane's client, which first fetches a snapshot and then watches from the
//!   snapshot's version. The owner of this client checks the order of lists.
//! - [`list_version`]: the order of two lists.
//!
//! The clients record [`calls::DiscoveryCommand`]s; [`crate::net::discovery_tasks`] executes them.

pub mod calls;
pub mod list_version;
pub mod ordered_client;
pub mod snapshot_client;
