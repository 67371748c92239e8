//! The cached resources of an xDS proxy, without I/O and without a clock.
//!
//! - `decode`: decodes resources from their messages.
//! - `cache`: applies responses, produces the next requests, and counts protocol violations.
//! - `lookup`: finds the routes and endpoints for requests.

mod cache;
mod decode;
mod lookup;

pub use cache::{CacheRequest, ResourceCache};
pub use decode::{CachedEndpoint, CachedRoute, WeightedCluster};
pub use lookup::ClusterEndpoints;
