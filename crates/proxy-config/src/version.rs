//! The order of states: by what they are based on, never by who told them or when they were made.
//!
//! A state of the newest build and a version of the list are two chains. A handout is newer than another one only
//! where neither of its two parts is older. A label carries both as text, signed where control services share a
//! key, so that a proxy which reports what it holds tells another service how far the world is.

use hmac::{Hmac, Mac};
use latchhaven_policy::{Millis, RolloutPhase, RolloutState, Version};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::cmp::Ordering;

/// Services read one platform at different moments, on clocks that differ: beginnings of a state within this many ms
/// are one. Stages and phases are far longer.
const SAME: u64 = 2_000;
/// Parts of a million in which caps are labelled.
const MILLION: f64 = 1e6;
/// A label is shorter than this; whatever is longer was not made here.
pub const MAX_LABEL_LENGTH: usize = 160;
/// Hexadecimal digits of a signature that are kept: 64 bits, guessed by nobody over a stream.
const SIGNED: usize = 16;

/// How far a build is. Once condemned here it is not given out as on trial again, whatever another service thinks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RolloutStatus {
    #[serde(rename = "OnTrial")]
    Canary,
    #[serde(rename = "Condemned")]
    Rejected,
    #[serde(rename = "Released")]
    Promoted,
    #[serde(rename = "GoingBack")]
    RollingBack,
    #[serde(rename = "Withdrawn")]
    RolledBack,
}

/// The letters of ways in labels.
const WAYS: [(RolloutStatus, char); 5] = [
    (RolloutStatus::Canary, 't'),
    (RolloutStatus::Rejected, 'c'),
    (RolloutStatus::Promoted, 'r'),
    (RolloutStatus::RollingBack, 'b'),
    (RolloutStatus::RolledBack, 'w'),
];

/// A state of the newest build.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutVersion {
    #[serde(rename = "build")]
    pub version: Version,
    #[serde(rename = "way")]
    pub status: RolloutStatus,
    pub stage: u32,
    /// Parts of a million.
    #[serde(rename = "cap")]
    pub traffic_cap: u32,
    /// Unix time in ms at which the state began.
    pub since: u64,
}

impl RolloutVersion {
    /// The mark of a state that was told at this moment.
    pub fn from_state(news: &RolloutState, condemned: bool, now: Millis) -> Self {
        let way = match news.phase {
            RolloutPhase::Canary if condemned => RolloutStatus::Rejected,
            RolloutPhase::Canary => RolloutStatus::Canary,
            RolloutPhase::Promoted => RolloutStatus::Promoted,
            RolloutPhase::RollingBack => RolloutStatus::RollingBack,
            RolloutPhase::RolledBack => RolloutStatus::RolledBack,
        };
        let cap = (news.traffic_cap.clamp(0.0, 1.0) * MILLION).round() as u32;
        RolloutVersion {
            version: news.version,
            status: way,
            stage: news.stage,
            traffic_cap: cap,
            since: (now - news.age).max(0.0) as u64,
        }
    }

    /// The state that a mark stands for, told at this moment.
    pub fn to_state(&self, now: Millis) -> RolloutState {
        let phase = match self.status {
            RolloutStatus::Canary | RolloutStatus::Rejected => RolloutPhase::Canary,
            RolloutStatus::Promoted => RolloutPhase::Promoted,
            RolloutStatus::RollingBack => RolloutPhase::RollingBack,
            RolloutStatus::RolledBack => RolloutPhase::RolledBack,
        };
        let age = (now - self.since as Millis).max(0.0);
        let traffic_cap = f64::from(self.traffic_cap) / MILLION;
        RolloutState { version: self.version, stage: self.stage, phase, traffic_cap, age }
    }

    /// By build, way and stage. Within a stage by beginning; where those cannot be told apart the lower cap is
    /// the newer one, for taking it wrongly for newer breaks no rule.
    pub fn compare(&self, other: &Self) -> Ordering {
        let place = |mark: &Self| (mark.version, mark.status, mark.stage);
        let apart = self.since.abs_diff(other.since) > SAME;
        place(self).cmp(&place(other)).then(match apart {
            true => self.since.cmp(&other.since),
            false => other.traffic_cap.cmp(&self.traffic_cap),
        })
    }
}

/// A version of the list. Discovery counts anew after its own restart: that begins an epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointListVersion {
    pub epoch: u32,
    pub version: u64,
}

/// What a handout is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigVersion {
    #[serde(rename = "news")]
    pub rollout: RolloutVersion,
    #[serde(rename = "list")]
    pub endpoints: EndpointListVersion,
}

impl ConfigVersion {
    /// True where neither part is older than the other's.
    pub fn dominates(&self, other: &Self) -> bool {
        self.rollout.compare(&other.rollout) != Ordering::Less && self.endpoints >= other.endpoints
    }

    /// True where this is newer in a part, and older in none.
    pub fn is_newer_than(&self, than: &Self) -> bool {
        self.dominates(than) && !than.dominates(self)
    }

    /// The newer of each part.
    pub fn join(&self, other: &Self) -> Self {
        let news = if other.rollout.compare(&self.rollout) == Ordering::Greater {
            other.rollout
        } else {
            self.rollout
        };
        ConfigVersion { rollout: news, endpoints: self.endpoints.max(other.endpoints) }
    }
}

/// Makes labels and reads them.
#[derive(Clone, Default)]
pub struct VersionSigner {
    key: Option<Vec<u8>>,
}

/// A label's stamp and content.
pub fn split_label(text: &str) -> Option<(&str, u64)> {
    let (stamp, content) = text.rsplit_once('.')?;
    let fits = content.len() == 16 && content.bytes().all(|byte| byte.is_ascii_hexdigit());
    Some((stamp, fits.then(|| u64::from_str_radix(content, 16).ok())??))
}

/// The label of a content under a stamp.
pub fn join_label(stamp: &str, content: u64) -> String {
    format!("{stamp}.{content:016x}")
}

impl std::fmt::Debug for VersionSigner {
    /// Never the key.
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.debug_struct("Labels").field("signed", &self.key.is_some()).finish()
    }
}

/// What a label tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SignedVersion {
    pub version: ConfigVersion,
    /// Tells apart contents on the same basis.
    pub content_hash: u64,
    /// A service with the same key made it.
    pub is_signed: bool,
}

impl VersionSigner {
    /// Labels signed with a key, or plain ones: then what a peer claims guards its own stream only.
    pub fn new(key: Option<Vec<u8>>) -> Self {
        VersionSigner { key: key.filter(|key| !key.is_empty()) }
    }

    fn sign(&self, body: &str) -> Option<String> {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.key.as_ref()?).ok()?;
        mac.update(body.as_bytes());
        let digits: String = mac.finalize().into_bytes().iter().map(|byte| format!("{byte:02x}")).collect();
        Some(digits[..SIGNED].to_string())
    }

    /// The stamp of a basis: a label is a stamp and a content. Signing it once serves all that is handed out on it.
    pub fn prefix(&self, basis: &ConfigVersion) -> String {
        let RolloutVersion { version: build, status: way, stage, traffic_cap: cap, since } = basis.rollout;
        let way = WAYS.iter().find(|(of, _)| *of == way).map_or('?', |(_, letter)| *letter);
        let EndpointListVersion { epoch, version } = basis.endpoints;
        let body = format!("b{build}.{way}{stage}.{cap}.{since}.l{epoch}.{version}");
        match self.sign(&body) {
            Some(signature) => format!("{body}.{signature}"),
            None => body,
        }
    }

    /// The label of a content on a basis.
    pub fn label(&self, basis: &ConfigVersion, content: u64) -> String {
        join_label(&self.prefix(basis), content)
    }

    /// What a label tells; none where it is no label of this form.
    pub fn parse_label(&self, text: &str) -> Option<SignedVersion> {
        let (stamp, content) = split_label(text)?;
        let (basis, signed) = self.parse_prefix(stamp)?;
        Some(SignedVersion { version: basis, content_hash: content, is_signed: signed })
    }

    /// What a stamp tells, and whether it is signed with the site's key.
    pub fn parse_prefix(&self, stamp: &str) -> Option<(ConfigVersion, bool)> {
        if stamp.len() > MAX_LABEL_LENGTH || !stamp.is_ascii() {
            return None;
        }
        let parts: Vec<&str> = stamp.split('.').collect();
        let (body, signature) = match parts.len() {
            6 => (stamp, None),
            7 => stamp.rsplit_once('.').map(|(body, signature)| (body, Some(signature)))?,
            _ => return None,
        };
        // Whatever is not signed by the site's key may still be what a proxy holds: it guards that proxy's stream.
        let signed = match (signature, self.sign(body)) {
            (Some(given), _) if given.len() != SIGNED => return None,
            (Some(given), Some(own)) => {
                given.bytes().zip(own.bytes()).fold(0, |differ, (given, own)| differ | (given ^ own)) == 0
            }
            _ => false,
        };
        let letter = parts[1].chars().next()?;
        let way = WAYS.iter().find(|(_, of)| *of == letter)?.0;
        let news = RolloutVersion {
            version: parts[0].strip_prefix('b')?.parse().ok()?,
            status: way,
            stage: parts[1].get(1..)?.parse().ok()?,
            traffic_cap: parts[2].parse().ok().filter(|cap| *cap <= MILLION as u32)?,
            since: parts[3].parse().ok()?,
        };
        let epoch = parts[4].strip_prefix('l')?.parse().ok()?;
        let list = EndpointListVersion { epoch, version: parts[5].parse().ok()? };
        Some((ConfigVersion { rollout: news, endpoints: list }, signed))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn mark() -> impl Strategy<Value = RolloutVersion> {
        let ways = prop_oneof![
            Just(RolloutStatus::Canary),
            Just(RolloutStatus::Rejected),
            Just(RolloutStatus::Promoted),
            Just(RolloutStatus::RollingBack),
            Just(RolloutStatus::RolledBack)
        ];
        (0u32..4, ways, 0u32..4, 0u32..=1_000_000, 0u64..20_000).prop_map(
            |(build, way, stage, cap, since)| RolloutVersion {
                version: Version(build),
                status: way,
                stage,
                traffic_cap: cap,
                since,
            },
        )
    }

    fn basis() -> impl Strategy<Value = ConfigVersion> {
        (mark(), 0u32..3, 0u64..9).prop_map(|(news, epoch, version)| ConfigVersion {
            rollout: news,
            endpoints: EndpointListVersion { epoch, version },
        })
    }

    proptest! {
        #![proptest_config(latchhaven_proptest_config::deterministic())]

        #[test]
        fn a_label_tells_what_it_was_made_of(basis in basis(), content: u64, key in "[a-z]{0,9}") {
            let labels = VersionSigner::new(Some(key.clone().into_bytes()));
            let read = labels.parse_label(&labels.label(&basis, content));
            prop_assert_eq!(read, Some(SignedVersion { version: basis, content_hash: content, is_signed: !key.is_empty() }));
        }

        #[test]
        fn no_text_is_taken_for_signed(text in ".{0,200}", basis in basis(), at in 0usize..80, to in "[0-9a-z]") {
            let labels = VersionSigner::new(Some(b"key".to_vec()));
            prop_assert!(labels.parse_label(&text).is_none_or(|label| !label.is_signed));
            let mut forged = labels.label(&basis, 7);
            let at = at % forged.len();
            forged.replace_range(at..=at, &to);
            let read = labels.parse_label(&forged).filter(|label| label.is_signed);
            prop_assert!(read.is_none_or(|label| label.version == basis), "{forged}");
        }

        #[test]
        fn a_join_covers_both_and_nothing_is_newer_than_itself(a in basis(), b in basis()) {
            prop_assert!(a.join(&b).dominates(&a) && a.join(&b).dominates(&b));
            prop_assert!(!a.is_newer_than(&a));
            prop_assert!(!a.is_newer_than(&b) || !b.is_newer_than(&a));
        }
    }

    #[test]
    fn later_ways_of_a_build_are_newer_however_old_their_beginning() {
        let on = RolloutVersion {
            version: Version(4),
            status: RolloutStatus::Canary,
            stage: 3,
            traffic_cap: 1_000_000,
            since: 90_000,
        };
        let ways = [
            RolloutStatus::Rejected,
            RolloutStatus::Promoted,
            RolloutStatus::RollingBack,
            RolloutStatus::RolledBack,
        ];
        for way in ways {
            assert_eq!(
                RolloutVersion { status: way, stage: 0, traffic_cap: 0, since: 0, ..on }.compare(&on),
                Ordering::Greater
            );
        }
        assert_eq!(
            RolloutVersion { version: Version(5), stage: 0, since: 0, ..on }.compare(&on),
            Ordering::Greater
        );
        // At the same stage: the cap fell, told a moment apart on two clocks; then rose again much later.
        let fell = RolloutVersion { traffic_cap: 0, since: 89_500, ..on };
        assert_eq!(fell.compare(&on), Ordering::Greater);
        assert_eq!(RolloutVersion { since: 120_000, ..on }.compare(&fell), Ordering::Greater);
    }
}
