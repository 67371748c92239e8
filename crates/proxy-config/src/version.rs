//! Versions of a proxy configuration, their order, and the text labels that carry them.
//!
//! A configuration is based on a state of the newest version's rollout and on a version of the endpoint list. The order
//! of two configurations follows from these two parts, never from the publishing service or the time: one is newer only
//! where neither part is older. A label contains both parts as text, signed where control services share a key. From the
//! label that a proxy reports, another service reads which rollout state and endpoint list were published before.

use crate::limits;
use crate::parts_per_million::PartsPerMillion;
use hmac::{Hmac, Mac};
use latchhaven_policy::{Millis, RolloutPhase, RolloutState, Version};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::cmp::Ordering;
use std::fmt;

/// Hexadecimal digits of a signature in a label: 64 bits.
const SIGNATURE_LENGTH: usize = 16;
/// Hexadecimal digits of a content hash in a label.
const CONTENT_HASH_LENGTH: usize = 16;
/// Fields of a label's prefix without a signature.
const PREFIX_FIELDS: usize = 6;

/// The status of a version's rollout, in the order in which a rollout can pass through them. A rejected version is not
/// published as a canary again, whatever another service decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RolloutStatus {
    /// The platform runs it as a canary.
    #[serde(rename = "OnTrial")]
    Canary,
    /// A canary that the analysis has rejected.
    #[serde(rename = "Condemned")]
    Rejected,
    /// It serves all requests.
    #[serde(rename = "Released")]
    Promoted,
    /// The platform is rolling it back.
    #[serde(rename = "GoingBack")]
    RollingBack,
    /// It was rolled back.
    #[serde(rename = "Withdrawn")]
    RolledBack,
}

/// The letter of each status in labels.
const STATUS_LETTERS: [(RolloutStatus, char); 5] = [
    (RolloutStatus::Canary, 't'),
    (RolloutStatus::Rejected, 'c'),
    (RolloutStatus::Promoted, 'r'),
    (RolloutStatus::RollingBack, 'b'),
    (RolloutStatus::RolledBack, 'w'),
];

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

    fn letter(self) -> char {
        let entry = STATUS_LETTERS.iter().find(|(status, _)| *status == self);
        entry.map_or('?', |(_, letter)| *letter)
    }

    fn from_letter(letter: char) -> Option<Self> {
        let entry = STATUS_LETTERS.iter().find(|(_, of)| *of == letter);
        entry.map(|(status, _)| *status)
    }
}

/// A state of the newest version's rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutVersion {
    /// The newest version.
    #[serde(rename = "build")]
    pub version: Version,
    /// The status of its rollout.
    #[serde(rename = "way")]
    pub status: RolloutStatus,
    /// The stage of its rollout, from 0.
    pub stage: u32,
    /// The share of requests that it may receive at this stage.
    #[serde(rename = "cap")]
    pub traffic_cap: PartsPerMillion,
    /// Unix time in ms at which the state began.
    pub since: u64,
}

impl RolloutVersion {
    /// The version of a state that was reported at the time `now`, in Unix ms.
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

    /// The state of this version as it is at the time `now`, in Unix ms.
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

    /// Compares two versions by version, status and stage; within a stage by begin. Not a total order, since begins within a
    /// tolerance are equal. Where the begins cannot be distinguished, the lower
    /// cap counts as newer, since a mistake then exceeds no cap.
    #[must_use]
    pub fn compare(&self, other: &Self) -> Ordering {
        let progress = |rollout: &Self| (rollout.version, rollout.status, rollout.stage);
        let within_stage = if limits::is_same_begin(self.since, other.since) {
            other.traffic_cap.cmp(&self.traffic_cap)
        } else {
            self.since.cmp(&other.since)
        };
        progress(self).cmp(&progress(other)).then(within_stage)
    }
}

/// A version of the endpoint list. Discovery restarts its count when it restarts itself: that begins a new epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointListVersion {
    /// The number of detected restarts of discovery.
    pub epoch: u32,
    /// The version that discovery assigned to the list.
    pub version: u64,
}

/// The version of a configuration: the states that it is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigVersion {
    /// The state of the newest version's rollout.
    #[serde(rename = "news")]
    pub rollout: RolloutVersion,
    /// The version of the endpoint list.
    #[serde(rename = "list")]
    pub endpoints: EndpointListVersion,
}

impl ConfigVersion {
    /// True where neither part is older than the other's.
    #[must_use]
    pub fn is_up_to_date_with(&self, other: &Self) -> bool {
        self.rollout.compare(&other.rollout) != Ordering::Less && self.endpoints >= other.endpoints
    }

    /// True where one part is newer than the other's, and none is older.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.is_up_to_date_with(other) && !other.is_up_to_date_with(self)
    }

    /// The newer of each part.
    #[must_use]
    pub fn merge(&self, other: &Self) -> Self {
        let is_other_newer = other.rollout.compare(&self.rollout) == Ordering::Greater;
        ConfigVersion {
            rollout: if is_other_newer { other.rollout } else { self.rollout },
            endpoints: self.endpoints.max(other.endpoints),
        }
    }
}

/// A parsed label: the version and the content hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedVersion {
    /// The version of the labelled resource.
    pub version: ConfigVersion,
    /// The hash of the content; distinguishes resources of the same version.
    pub content_hash: u64,
    /// A service with the same key signed the label.
    pub is_signed: bool,
}

/// A parsed prefix of a label.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParsedPrefix {
    /// The version in the prefix.
    pub version: ConfigVersion,
    /// A service with the same key signed the prefix.
    pub is_signed: bool,
}

/// The two parts of a label's text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LabelParts<'a> {
    /// The version, with its signature if it is signed.
    pub prefix: &'a str,
    /// The hash of the labelled content.
    pub content_hash: u64,
}

/// Splits a label into its prefix and its content hash; none if it is not a label.
#[must_use]
pub fn split_label(label: &str) -> Option<LabelParts<'_>> {
    let (prefix, digits) = label.rsplit_once('.')?;
    if digits.len() != CONTENT_HASH_LENGTH || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let content_hash = u64::from_str_radix(digits, 16).ok()?;
    Some(LabelParts { prefix, content_hash })
}

/// The label of a content under a prefix.
#[must_use]
pub fn join_label(prefix: &str, content_hash: u64) -> String {
    format!("{prefix}.{content_hash:016x}")
}

/// Writes and parses labels, and signs them if it has a key.
#[derive(Clone, Default)]
pub struct VersionSigner {
    key: Option<Vec<u8>>,
}

impl fmt::Debug for VersionSigner {
    /// Never shows the key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("VersionSigner").field("has_key", &self.key.is_some()).finish()
    }
}

impl VersionSigner {
    /// Signs labels with a key. Without a key, or with an empty one, labels are unsigned: then a version that a proxy
    /// reports protects the proxy's own stream only.
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

    /// Compares a signature with that of this signer's key, in constant time. The caller checks its length: a shorter one would
    /// match.
    fn verify(&self, body: &str, signature: &str) -> bool {
        let Some(expected) = self.sign(body) else { return false };
        let pairs = signature.bytes().zip(expected.bytes());
        pairs.fold(0, |difference, (given, expected)| difference | (given ^ expected)) == 0
    }

    /// The prefix of all labels of a version; signed once for all resources of that version.
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

    /// The label of a content of a version.
    #[must_use]
    pub fn label(&self, version: &ConfigVersion, content_hash: u64) -> String {
        join_label(&self.prefix(version), content_hash)
    }

    /// Parses a label; none if the text is not a label.
    #[must_use]
    pub fn parse_label(&self, label: &str) -> Option<ReportedVersion> {
        let LabelParts { prefix, content_hash } = split_label(label)?;
        let ParsedPrefix { version, is_signed } = self.parse_prefix(prefix)?;
        Some(ReportedVersion { version, content_hash, is_signed })
    }

    /// Parses a label's prefix; none if the text is not a prefix. An unsigned prefix, or one signed with another key, is
    /// valid: it protects the stream of the proxy that reports it.
    #[must_use]
    pub fn parse_prefix(&self, prefix: &str) -> Option<ParsedPrefix> {
        if prefix.len() > limits::MAX_LABEL_LENGTH || !prefix.is_ascii() {
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

/// Parses the first four fields of a prefix.
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

/// Parses the last two fields of a prefix.
fn parse_endpoint_list(fields: &[&str]) -> Option<EndpointListVersion> {
    let epoch = fields[4].strip_prefix('l')?.parse().ok()?;
    let version = fields[5].parse().ok()?;
    Some(EndpointListVersion { epoch, version })
}
