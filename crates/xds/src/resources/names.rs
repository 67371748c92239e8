//! Names of resources. Requests and load reports contain them, so that their form is part of the protocol.

use latchhaven_policy::Version;

/// The name of the listener of all proxies.
pub const LISTENER_NAME: &str = "latchhaven";
/// The name of the route configuration of all proxies.
pub const ROUTES_NAME: &str = "latchhaven";
/// The cluster without endpoints: a request routed to it is rejected immediately and never executed.
pub const REJECT_CLUSTER: &str = "decline";
/// Prefix of the collections of single endpoints.
const ENDPOINT_COLLECTIONS: &str = "xdstp:///envoy.config.endpoint.v3.LbEndpoint/";

/// The name of the cluster for the requests of one class to one version.
#[must_use]
pub fn cluster_name(version: Version, class: &str) -> String {
    format!("b{version}/{class}")
}

/// The name of the endpoints of one version.
#[must_use]
pub fn endpoints_name(version: Version) -> String {
    format!("b{version}")
}

/// The parts of a cluster name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClusterNameParts {
    /// The version.
    pub version: Version,
    /// The index of the request class.
    pub class: usize,
}

/// Parses a cluster name; none if its form or class is unknown. `classes` are the names of the request classes.
#[must_use]
pub fn parse_cluster_name(name: &str, classes: &[String]) -> Option<ClusterNameParts> {
    let (version, class) = name.strip_prefix('b')?.split_once('/')?;
    let version = version.parse().ok()?;
    let class = classes.iter().position(|known| known == class)?;
    Some(ClusterNameParts { version, class })
}

/// The version whose endpoints have this name.
pub(super) fn parse_endpoints_name(name: &str) -> Option<Version> {
    let version: Version = name.strip_prefix('b')?.parse().ok()?;
    // Excludes other forms of the number, such as leading zeros.
    (endpoints_name(version) == name).then_some(version)
}

/// The prefix of the endpoints of one version in one zone, where endpoints are resources of their own.
pub(super) fn endpoint_collection(version: Version, zone: &str) -> String {
    format!("{ENDPOINT_COLLECTIONS}b{version}/z{}/", sanitize(zone))
}

/// A text with `_` in place of all characters that are not allowed in a resource name.
pub(super) fn sanitize(text: &str) -> String {
    let allowed = |character: char| character.is_ascii_alphanumeric() || character == '-';
    text.chars().map(|character| if allowed(character) { character } else { '_' }).collect()
}
