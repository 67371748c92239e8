//! Versions of a proxy configuration, their order, and the text labels that carry them.
//!
//! A configuration is based on a state of the newest version's rollout and on a version of the endpoint list. Its
//! version consists of these two parts. The order of versions is partial: one is newer only if neither of its parts
//! is older. Neither the publishing service nor the time of publication affects the
//! order.
//!
//! A label is the version of a resource as text: a prefix with both parts, and a hash of the resource's content.
//! Control services that share a key sign the prefix. From the label that a proxy reports, another service reads
//! which rollout state and endpoint list were published before. The status is one letter, the traffic cap is in parts
//! per million, and the signature is optional:
//!
//! ```text
//! b<version>.<status><stage>.<traffic cap>.<since>.l<list epoch>.<list version>[.<signature>].<content hash>
//! ```

use crate::limits;
use crate::parts_per_million::PartsPerMillion;
use hmac::{Hmac, Mac};
use latchhaven_policy::{Millis, RolloutPhase, RolloutState, Version};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::cmp::Ordering;
use std::fmt;

/// Hexadecimal digits of a signature in a label: the leading 64 bits of an HMAC-SHA256.
const SIGNATURE_LENGTH: usize = 16;
/// Hexadecimal digits of a content hash in a label: 64 bits.
const CONTENT_HASH_LENGTH: usize = 16;
/// Number of fields of an unsigned prefix. A signed one has one more.
const PREFIX_FIELDS: usize = 6;

/// The status of a version's rollout, in the order in which a rollout can pass through them: a later status is newer. A
/// rejected version is therefore not published as a canary again, even if another service has not rejected it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RolloutStatus {
    /// The platform runs the version as a canary.
    #[serde(rename = "OnTrial")]
    Canary,
    /// The platform runs the version as a canary, and the canary analysis of a control service has rejected it.
    #[serde(rename = "Condemned")]
    Rejected,
    /// The version serves all requests.
    #[serde(rename = "Released")]
    Promoted,
    /// The platform is rolling the version back.
    #[serde(rename = "GoingBack")]
    RollingBack,
    /// The platform has rolled the version back.
    #[serde(rename = "Withdrawn")]
    RolledBack,
}

impl RolloutStatus {
    fn from_phase(phase: RolloutPhase, is_rejected: bool) -> Self {
        match phase {
            RolloutPhase::Canary if is_rejected => RolloutStatus::Rejected,
            RolloutPhase::Canary => RolloutStatus::Canary,
            RolloutPhase::Promoted => RolloutStatus::Promoted,
            RolloutPhase::RollingBack => RolloutStatus::RollingBack,
            RolloutPhase::RolledBack => RolloutStatus::RolledBack,
        }
    }

    fn phase(self) -> RolloutPhase {
        match self {
            RolloutStatus::Canary | RolloutStatus::Rejected => RolloutPhase::Canary,
            RolloutStatus::Promoted => RolloutPhase::Promoted,
            RolloutStatus::RollingBack => RolloutPhase::RollingBack,
            RolloutStatus::RolledBack => RolloutPhase::RolledBack,
        }
    }

    /// The letter of the status in labels: an initial of its name in stored records, which is `OnTrial`, `Condemned`,
    /// `Released`, `GoingBack` or `Withdrawn`. Must not change: proxies may report labels of other releases.
    fn letter(self) -> char {
        match self {
            RolloutStatus::Canary => 't',
            RolloutStatus::Rejected => 'c',
            RolloutStatus::Promoted => 'r',
            RolloutStatus::RollingBack => 'b',
            RolloutStatus::RolledBack => 'w',
        }
    }

    fn from_letter(letter: char) -> Option<Self> {
        match letter {
            't' => Some(RolloutStatus::Canary),
            'c' => Some(RolloutStatus::Rejected),
            'r' => Some(RolloutStatus::Promoted),
            'b' => Some(RolloutStatus::RollingBack),
            'w' => Some(RolloutStatus::RolledBack),
            _ => None,
        }
    }
}

/// A state of the newest version's rollout, as one part of a configuration's version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutVersion {
    /// The newest version of the software that the endpoints run.
    #[serde(rename = "build")]
    pub version: Version,
    /// How far the rollout is, or whether the version was rejected or rolled back.
    #[serde(rename = "way")]
    pub status: RolloutStatus,
    /// The stage of the rollout, from 0. Later stages have higher traffic caps.
    pub stage: u32,
    /// The share of requests that the version may receive at this stage.
    #[serde(rename = "cap")]
    pub traffic_cap: PartsPerMillion,
    /// Start of the state, as Unix time in milliseconds.
    pub since: u64,
}

impl RolloutVersion {
    /// Converts a state that the platform reported at `now`, a Unix time. `is_rejected` is set if the canary analysis
    /// has rejected the version, which the platform may not report yet.
    #[must_use]
    pub fn from_state(state: &RolloutState, is_rejected: bool, now: Millis) -> Self {
        RolloutVersion {
            version: state.version,
            status: RolloutStatus::from_phase(state.phase, is_rejected),
            stage: state.stage,
            traffic_cap: PartsPerMillion::from_fraction_nearest(state.traffic_cap),
            since: (now - state.age).max(0.0) as u64,
        }
    }

    /// Converts to the state that the platform would report at `now`, a Unix time.
    #[must_use]
    pub fn to_state(&self, now: Millis) -> RolloutState {
        RolloutState {
            version: self.version,
            stage: self.stage,
            phase: self.status.phase(),
            traffic_cap: self.traffic_cap.as_fraction(),
            age: (now - self.since as Millis).max(0.0),
        }
    }

    /// Compares two states by version, status and stage, and within a stage by start time. Two start times may be
    /// equal within the tolerance of clocks; then the lower traffic cap counts as newer, so that a wrong order
    /// exceeds no cap. Because of the tolerance this is not a total order: the comparison is not transitive.
    #[must_use]
    pub fn compare(&self, other: &Self) -> Ordering {
        let progress = |rollout: &Self| (rollout.version, rollout.status, rollout.stage);
        let within_stage = if limits::is_same_start_time(self.since, other.since) {
            other.traffic_cap.cmp(&self.traffic_cap)
        } else {
            self.since.cmp(&other.since)
        };
        progress(self).cmp(&progress(other)).then(within_stage)
    }
}

/// A version of the endpoint list. Discovery counts from the beginning again after a restart; a new epoch makes lists
/// received after the restart newer than all lists before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointListVersion {
    /// Number of restarts of discovery that control services have detected.
    pub epoch: u32,
    /// The number that discovery assigned to the list; higher is newer within an epoch.
    pub version: u64,
}

/// The version of a configuration: the rollout state and the endpoint list on which it is based.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigVersion {
    /// The state of the newest version's rollout on which the configuration is based.
    #[serde(rename = "news")]
    pub rollout: RolloutVersion,
    /// The endpoint list on which the configuration is based.
    #[serde(rename = "list")]
    pub endpoints: EndpointListVersion,
}

impl ConfigVersion {
    /// Returns `true` if neither part is older than that of `other`. If each of two versions has one newer part,
    /// neither is up to date with the other.
    #[must_use]
    pub fn is_up_to_date_with(&self, other: &Self) -> bool {
        self.rollout.compare(&other.rollout) != Ordering::Less && self.endpoints >= other.endpoints
    }

    /// Returns `true` if at least one part is newer than that of `other`, and none is older.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.is_up_to_date_with(other) && !other.is_up_to_date_with(self)
    }

    /// Combines the newer rollout state and the newer endpoint list of two versions. The combined version is up to date
    /// with both.
    #[must_use]
    pub fn merge(&self, other: &Self) -> Self {
        let is_other_newer = other.rollout.compare(&self.rollout) == Ordering::Greater;
        ConfigVersion {
            rollout: if is_other_newer { other.rollout } else { self.rollout },
            endpoints: self.endpoints.max(other.endpoints),
        }
    }
}

/// The version of a resource that a proxy uses, read from the label that the proxy reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedVersion {
    /// The version of the configuration to which the resource belongs.
    pub version: ConfigVersion,
    /// The hash of the resource's content, which distinguishes resources of the same version.
    pub content_hash: u64,
    /// Set when the label is signed with this service's key.
    pub is_signed: bool,
}

/// The version read from a label's prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParsedPrefix {
    /// The version of the configuration to which resources with this prefix belong.
    pub version: ConfigVersion,
    /// Set when the prefix is signed with this service's key.
    pub is_signed: bool,
}

/// A label split into its two parts, neither of which has been verified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LabelParts<'a> {
    /// The text of the version, followed by the signature if there is one.
    pub prefix: &'a str,
    /// The hash of the labelled content.
    pub content_hash: u64,
}

/// Splits a label into its prefix and its content hash. Returns `None` if the text does not end in a content hash. The
/// prefix is not parsed.
#[must_use]
pub fn split_label(label: &str) -> Option<LabelParts<'_>> {
    let (prefix, digits) = label.rsplit_once('.')?;
    if digits.len() != CONTENT_HASH_LENGTH || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let content_hash = u64::from_str_radix(digits, 16).ok()?;
    Some(LabelParts { prefix, content_hash })
}

/// Returns the label of a resource, from the prefix for its version and the hash of its content.
#[must_use]
pub fn join_label(prefix: &str, content_hash: u64) -> String {
    format!("{prefix}.{content_hash:016x}")
}

/// Writes and parses labels. With a key, also signs them and verifies their signatures.
#[derive(Clone, Default)]
pub struct VersionSigner {
    key: Option<Vec<u8>>,
}

impl fmt::Debug for VersionSigner {
    /// Shows only whether there is a key, which is secret.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("VersionSigner").field("has_key", &self.key.is_some()).finish()
    }
}

impl VersionSigner {
    /// Creates a signer with the key that control services share. Without a key, or with an empty one, labels are
    /// unsigned: then a version that a proxy reports protects only the proxy's own stream from older configurations.
    #[must_use]
    pub fn new(key: Option<Vec<u8>>) -> Self {
        VersionSigner { key: key.filter(|key| !key.is_empty()) }
    }

    fn sign(&self, body: &str) -> Option<String> {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.key.as_ref()?).ok()?;
        mac.update(body.as_bytes());
        let digest = mac.finalize().into_bytes();
        let leading_bytes = digest.first_chunk().copied().map(u64::from_be_bytes)?;
        Some(format!("{leading_bytes:016x}"))
    }

    /// Compares a signature with that of this signer's key, in constant time. The caller checks the signature's
    /// length: only the digits of the shorter text are compared, so that an empty signature would match.
    fn verify(&self, body: &str, signature: &str) -> bool {
        let Some(expected) = self.sign(body) else { return false };
        let pairs = signature.bytes().zip(expected.bytes());
        pairs.fold(0, |difference, (given, expected)| difference | (given ^ expected)) == 0
    }

    /// Returns the prefix of the labels of a version, signed if there is a key. One prefix serves all resources of the
    /// version.
    #[must_use]
    pub fn prefix(&self, version: &ConfigVersion) -> String {
        let RolloutVersion { version: newest, status, stage, traffic_cap, since } = version.rollout;
        let EndpointListVersion { epoch, version: list_version } = version.endpoints;
        let letter = status.letter();
        let body = format!("b{newest}.{letter}{stage}.{traffic_cap}.{since}.l{epoch}.{list_version}");
        match self.sign(&body) {
            Some(signature) => format!("{body}.{signature}"),
            None => body,
        }
    }

    /// Returns the label of one resource of a version, signed if there is a key. Unlike [`join_label`], each call
    /// computes a signature.
    #[must_use]
    pub fn label(&self, version: &ConfigVersion, content_hash: u64) -> String {
        join_label(&self.prefix(version), content_hash)
    }

    /// Parses the label of a resource and verifies its signature. Returns `None` if the text is not a label.
    #[must_use]
    pub fn parse_label(&self, label: &str) -> Option<ReportedVersion> {
        let LabelParts { prefix, content_hash } = split_label(label)?;
        let ParsedPrefix { version, is_signed } = self.parse_prefix(prefix)?;
        Some(ReportedVersion { version, content_hash, is_signed })
    }

    /// Parses a label's prefix and verifies its signature. Returns `None` if the text is not a prefix. A prefix that
    /// is unsigned, or signed with another key, is parsed too: the version in it protects the stream of the proxy
    /// that reports it from older configurations.
    #[must_use]
    pub fn parse_prefix(&self, prefix: &str) -> Option<ParsedPrefix> {
        if prefix.len() > limits::MAX_LABEL_PREFIX_LENGTH || !prefix.is_ascii() {
            return None;
        }
        let fields: Vec<&str> = prefix.split('.').collect();
        let is_signed = match fields.len() {
            PREFIX_FIELDS => false,
            length if length == PREFIX_FIELDS + 1 => {
                let (body, signature) = prefix.rsplit_once('.')?;
                if signature.len() != SIGNATURE_LENGTH {
                    return None;
                }
                self.verify(body, signature)
            }
            _ => return None,
        };
        let rollout = parse_rollout(&fields)?;
        let endpoints = parse_endpoint_list(&fields)?;
        Some(ParsedPrefix { version: ConfigVersion { rollout, endpoints }, is_signed })
    }
}

/// Parses the first four fields of a prefix: version, status with stage, traffic cap and start time.
fn parse_rollout(fields: &[&str]) -> Option<RolloutVersion> {
    let version = fields[0].strip_prefix('b')?.parse().ok()?;
    let status = RolloutStatus::from_letter(fields[1].chars().next()?)?;
    let stage = fields[1].get(1..)?.parse().ok()?;
    let traffic_cap = PartsPerMillion::new(fields[2].parse().ok()?);
    if traffic_cap > PartsPerMillion::FULL {
        return None;
    }
    let since = fields[3].parse().ok()?;
    Some(RolloutVersion { version, status, stage, traffic_cap, since })
}

/// Parses the fifth and sixth field of a prefix: epoch and version of the endpoint list.
fn parse_endpoint_list(fields: &[&str]) -> Option<EndpointListVersion> {
    let epoch = fields[4].strip_prefix('l')?.parse().ok()?;
    let version = fields[5].parse().ok()?;
    Some(EndpointListVersion { epoch, version })
}
