//! Software versions of endpoints, the state of a rollout, and votes on the rollout.

use crate::time::Millis;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// A software version of endpoints, as discovery lists it; a later version has a higher number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(pub u32);

impl Version {
    /// A value that no version has: marks a reused slot of the endpoint table until its entry is applied.
    pub const INVALID: Version = Version(u32::MAX);
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Version {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Version)
    }
}

/// The phase of a version's rollout, as the platform reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutPhase {
    /// The version is a canary: its traffic is capped, and gateways analyse its outcomes and vote on it.
    Canary,
    /// The platform is removing the version from the endpoints.
    RollingBack,
    /// The version is the new baseline.
    Promoted,
    /// The version was removed from the endpoints.
    RolledBack,
}

/// The state of the newest version's rollout, as the platform reports it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutState {
    /// The newest version that the platform knows.
    pub version: Version,
    /// The stage of the rollout, from 0.
    pub stage: u32,
    /// The phase, which determines whether the version is analysed.
    pub phase: RolloutPhase,
    /// The share of requests that may be sent to the version, from 0 to 1; at 1 there is no cap.
    pub traffic_cap: f64,
    /// Time since the platform last changed the state.
    pub age: Millis,
}

impl RolloutState {
    /// Returns `true` if all requests may be sent to the version, so that little or no traffic is left for the
    /// baseline.
    pub(crate) fn is_uncapped(&self) -> bool {
        self.traffic_cap >= 1.0
    }
}

/// A gateway's vote on the newest version; the platform acts once a quorum casts the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No opinion; withdraws an earlier vote.
    Abstain,
    /// The rollout is to enter its next stage.
    Promote,
    /// The rollout is not to enter its next stage for now.
    Pause,
    /// The version is to be removed from the endpoints, which return to the baseline.
    RollBack,
}

/// The platform's reply to a vote.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum VoteOutcome {
    /// The vote counts; the reply has the resulting state of the rollout.
    Counted(RolloutState),
    /// The platform did not accept the vote; the policy casts it again.
    NotCounted,
    /// No reply arrived in time: the vote may have been counted, or may still be.
    Unknown,
}
