//! Names of resources. Proxies and load reports repeat them, so their form is part of the protocol.

use latchhaven_policy::Version;

/// The name of the listener that every proxy is sent.
pub const LISTENER_NAME: &str = "latchhaven";
/// The name of the route configuration that every proxy is sent.
pub const ROUTES_NAME: &str = "latchhaven";
/// The cluster without endpoints: a request routed to it is rejected at once and never executed.
pub const REJECT_CLUSTER: &str = "decline";
/// Prefix of the collections that hold single endpoints.
const ENDPOINT_COLLECTIONS: &str = "xdstp:///envoy.config.endpoint.v3.LbEndpoint/";

/// The name of the cluster that carries the requests of one class to one version.
pub fn cluster_name(version: Version, class: &str) -> String {
    format!("b{version}/{class}")
}

/// The name of the endpoints of one version.
pub fn endpoints_name(version: Version) -> String {
    format!("b{version}")
}

/// The version and the index of the request class that a cluster name stands for.
pub fn parse_cluster_name(name: &str, classes: &[String]) -> Option<(Version, usize)> {
    let (version, class) = name.strip_prefix('b')?.split_once('/')?;
    let version = version.parse().ok()?;
    let class = classes.iter().position(|known| known == class)?;
    Some((version, class))
}

/// The version whose endpoints have this name.
pub(super) fn parse_endpoints_name(name: &str) -> Option<Version> {
    let version: Version = name.strip_prefix('b')?.parse().ok()?;
    // A number may be written in other ways than ours.
    (endpoints_name(version) == name).then_some(version)
}

/// The prefix of the endpoints of one version in one zone, where endpoints are resources of their own.
pub(super) fn endpoint_collection(version: Version, zone: &str) -> String {
    format!("{ENDPOINT_COLLECTIONS}b{version}/z{}/", sanitize(zone))
}

/// A text reduced to the characters that a resource name may hold.
pub(super) fn sanitize(text: &str) -> String {
    let allowed = |character: char| character.is_ascii_alphanumeric() || character == '-';
    text.chars().map(|character| if allowed(character) { character } else { '_' }).collect()
}
