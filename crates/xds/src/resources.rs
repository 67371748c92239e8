//! The proxy configuration as xDS resources.
//!
//! Each resource is encoded once and shared by all streams. A resource whose content hash is unchanged is not sent
//! again.
//!
//! - `resource_type`: the resource types and their type URLs.
//! - `names`: builds and parses resource names.
//! - `config`: settings of resources that do not change while the service runs.
//! - `snapshot`: all resources at one moment, with their version labels.
//! - `cluster`, `endpoints`, `listener`, `route`: build the protobuf messages of each type.
//! - `encoding`: content hashes, protobuf encoding, and messages that several types share.

mod cluster;
mod config;
mod encoding;
mod endpoints;
mod listener;
mod names;
mod resource_type;
mod route;
mod snapshot;

pub use config::{ListenerConfig, ResourceConfig};
pub use encoding::{Resource, to_xds_address};
pub(crate) use encoding::{content_hash, encode_bytes_field};
pub use names::{
    ClusterNameParts, LISTENER_NAME, REJECT_CLUSTER, ROUTES_NAME, cluster_name, endpoints_name,
    parse_cluster_name,
};
pub use resource_type::ResourceType;
pub use snapshot::{ResourceSet, ResourceSnapshot, TypeResources};
