//! Resource names. Proxies send them in discovery requests and load reports, so their form must not change.

use latchhaven_policy::Version;

/// The name of the only listener resource.
pub const LISTENER_NAME: &str = "latchhaven";
/// The name of the only route configuration.
pub const ROUTES_NAME: &str = "latchhaven";
/// The cluster without endpoints: a request routed to it is rejected immediately and never executed.
pub const REJECT_CLUSTER: &str = "decline";
/// Common prefix of all LEDS collections.
const LEDS_COLLECTIONS_PREFIX: &str = "xdstp:///envoy.config.endpoint.v3.LbEndpoint/";

/// The name of the cluster for requests of one class to the endpoints of one version: `b<version>/<class>`.
#[must_use]
pub fn cluster_name(version: Version, class: &str) -> String {
    format!("b{version}/{class}")
}

/// The name of the EDS resource with the endpoints of one version: `b<version>`.
#[must_use]
pub fn endpoints_name(version: Version) -> String {
    format!("b{version}")
}

/// The result of [`parse_cluster_name`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClusterNameParts {
    /// The version to whose endpoints the cluster sends requests.
    pub version: Version,
    /// The index of the request class in the list passed to the parser.
    pub class: usize,
}

/// Parses a name that [`cluster_name`] returned. Returns `None` if the form of the name is different, or if its class
/// is not among `classes`, the names of the request classes.
#[must_use]
pub fn parse_cluster_name(name: &str, classes: &[String]) -> Option<ClusterNameParts> {
    let (version, class) = name.strip_prefix('b')?.split_once('/')?;
    let version = version.parse().ok()?;
    let class = classes.iter().position(|known| known == class)?;
    Some(ClusterNameParts { version, class })
}

/// Parses a name that [`endpoints_name`] returned.
pub(super) fn parse_endpoints_name(name: &str) -> Option<Version> {
    let version: Version = name.strip_prefix('b')?.parse().ok()?;
    // Rejects other spellings of the number, such as leading zeros.
    (endpoints_name(version) == name).then_some(version)
}

/// The common prefix of the LEDS resources for endpoints of one version in one zone.
pub(super) fn leds_collection_prefix(version: Version, zone: &str) -> String {
    format!("{LEDS_COLLECTIONS_PREFIX}b{version}/z{}/", sanitize(zone))
}

/// Replaces all characters but ASCII letters, digits and `-` by `_`.
pub(super) fn sanitize(text: &str) -> String {
    let allowed = |character: char| character.is_ascii_alphanumeric() || character == '-';
    text.chars().map(|character| if allowed(character) { character } else { '_' }).collect()
}
