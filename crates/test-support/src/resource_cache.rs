//! The resources of an xDS proxy, without I/O and clock.
//!
//! - `decode`: the resources that are cached, decoded from their messages.
//! - `cache`: applies responses, makes the next requests, and counts protocol violations.
//! - `lookup`: routes and endpoints for requests.

mod cache;
mod decode;
mod lookup;

pub use cache::{CacheRequest, ResourceCache};
pub use decode::{CachedEndpoint, CachedRoute, WeightedCluster};
pub use lookup::ClusterEndpoints;
