//! Versions of the endpoints' software, the state of a rollout, and votes on it.

use crate::time::Millis;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// A software version of the endpoints; a later one has a higher number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(pub u32);

impl Version {
    /// A number that no version has.
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

/// The phase of a version's rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutPhase {
    /// It is a canary: its traffic is capped and it is analysed.
    Canary,
    /// It is being removed from the endpoints.
    RollingBack,
    /// It is the new baseline.
    Promoted,
    /// It was removed.
    RolledBack,
}

/// The state of the newest version's rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutState {
    /// The newest version.
    pub version: Version,
    /// The rollout's stage, from 0.
    pub stage: u32,
    /// Its phase.
    pub phase: RolloutPhase,
    /// The share of requests that the version may get, from 0 to 1.
    pub traffic_cap: f64,
    /// Time in ms since the state last changed.
    pub age: Millis,
}

/// What a gateway votes for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No vote; withdraws an earlier one.
    Abstain,
    /// On to the next stage.
    Promote,
    /// No next stage for now.
    Pause,
    /// Back to the baseline.
    RollBack,
}

/// The result of a vote.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum VoteOutcome {
    /// It counts; this is the state of the rollout now.
    Counted(RolloutState),
    /// The platform did not accept it.
    NotCounted,
    /// No answer: it may have counted, or may still.
    Unknown,
}
