//! Versions of the endpoints' software, the state of a rollout, and votes on it.

use crate::Millis;

/// A software version of the endpoints; a later one has a higher number.
pub type Version = u32;

/// How far the rollout of a version is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutPhase {
    /// It is a canary: its traffic is capped and it is being judged.
    Canary,
    /// It is being taken off the endpoints.
    RollingBack,
    /// It is the new baseline.
    Promoted,
    /// It was taken off.
    RolledBack,
}

/// The state of the newest version's rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutState {
    /// The newest version.
    pub version: Version,
    /// The rollout's stage, from 0.
    pub stage: u32,
    /// How far the rollout is.
    pub phase: RolloutPhase,
    /// The share of requests that the version may get, from 0 to 1.
    pub traffic_cap: f64,
    /// How long it has stood so.
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

/// What became of a vote.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum VoteOutcome {
    /// It counts; this is the state of the rollout now.
    Counted(RolloutState),
    /// The platform did not take it.
    NotCounted,
    /// No answer came: it may have counted, or may yet.
    Unknown,
}
