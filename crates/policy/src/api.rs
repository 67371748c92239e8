//! What the decisions are told and what they ask for, free of any protocol.
//!
//! A front builds a [`crate::choice::Choice`] from the records below, hands it every [`Event`] together with
//! the clock, and carries out the [`Action`]s in the order given. Times are milliseconds.

/// Milliseconds, with fractions.
pub type Ms = f64;
/// A txn's id, as the front gave it.
pub type TxnId = u32;
/// The number of a build; a later build has a higher one.
pub type Build = u32;
/// A load report: names and values.
pub type Load = Vec<(String, f64)>;

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The list of instances, or changes to it; entries are empty when the call failed.
    Fleet { kind: ListKind, version: u64, entries: Vec<Listing> },
    /// A client's txn came in; `left` is the time until this try expires, `waited` how long it had waited for
    /// its turn by now.
    Txn {
        id: TxnId,
        product: String,
        tenant: Option<String>,
        key: Option<String>,
        left: Ms,
        waited: Ms,
        work: Option<Ms>,
        repeat: bool,
        write: bool,
    },
    /// A streamed answer has begun; the submission now belongs to the client.
    Began { id: TxnId, submission: u32, instance: String, took: Ms },
    /// A submission ended. `closed`: the txn has its final answer.
    Ended { id: TxnId, submission: u32, instance: String, ending: Ending, closed: bool, took: Ms, load: Load },
    /// The client went away; nothing is owed any more.
    ClientGone { id: TxnId },
    /// The txn is to get its final answer now: the front ends.
    GiveUp { id: TxnId },
    /// A timer came due.
    Timer { token: String },
    /// A probe ended.
    Probed { instance: String, ending: Ending, took: Ms, load: Load },
    /// A message from another gateway.
    Peer { from: u32, data: Vec<u8> },
    /// What the platform says of the newest build, or its answer to a vote.
    Stage(StageNews),
    /// What the platform counted for one build and product over the past period.
    Tally { build: Build, product: String, count: u64, failed: u64, took: Option<Ms>, age: Ms },
    /// What others who send to an instance counted there over a period; `took`: mean time of those that
    /// settled.
    Seen { instance: String, product: String, count: u64, failed: u64, took: Option<Ms> },
    /// A client found an answer wrong.
    Flagged { instance: String, product: String, age: Ms },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the txn to an instance; no limit: until the client gives up. What is not written whole
    /// `write_within` so long is not sent at all: the instance would not drop it as a repeat any more.
    Submit { id: TxnId, instance: String, limit: Option<Ms>, write_within: Option<Ms> },
    /// Final answer: not done, trying again is harmless.
    Decline { id: TxnId, come_back: Option<Ms> },
    /// Final answer: failed, with no promise as to its effect.
    Void { id: TxnId },
    /// Stop waiting for one submission.
    Recall { id: TxnId, submission: u32 },
    /// Ask for a timer.
    Wake { after: Ms, token: String },
    /// Probe an instance.
    Probe { instance: String },
    /// Close idle connections to an instance.
    CloseIdle { instance: String },
    /// Tell another gateway, or all of them.
    Tell { to: Option<u32>, data: Vec<u8> },
    /// Ask for changes of the list from now on, or stop them.
    Watch { on: bool },
    /// Ask for the whole list once.
    Fetch,
    /// Vote on a build.
    Vote { build: Build, stage: u32, verdict: Verdict },
    /// A line for the operators.
    Log(String),
}

/// How a list of instances is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only what changed.
    Changes,
    /// The whole list.
    Whole,
    /// The whole list as last held, perhaps stale.
    Cached,
    /// A call failed or the watch broke; the list stays.
    Failed,
}

/// One instance on the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    pub instance: String,
    pub state: Standing,
    pub build: Build,
    pub zone: String,
    pub cell: u32,
    pub kind: String,
    pub weight: f64,
    /// Clock time of the last start; 0: long ago.
    pub since: Ms,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Ready,
    Draining,
    Gone,
}

/// How a submission or probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Settled,
    Error,
    TurnedAway,
    NoAnswer,
    NoConnection,
    ConnectionLost,
    Recalled,
    NotSent,
}

impl Ending {
    /// True where the ending proves that the submission never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::TurnedAway | Ending::NoConnection | Ending::NotSent)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    OnTrial,
    GoingBack,
    Released,
    Withdrawn,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    None,
    On,
    Hold,
    Back,
}

/// News of the newest build. The fields after `answer` count only where `valid`.
#[derive(Clone, Debug, PartialEq)]
pub struct StageNews {
    pub valid: bool,
    /// The vote may have counted though no answer came.
    pub unsure: bool,
    /// In answer to a vote.
    pub answer: bool,
    pub build: Build,
    pub stage: u32,
    pub phase: Phase,
    pub cap: f64,
    pub age: Ms,
}

impl StageNews {
    /// A state of the newest build that was told.
    pub fn told(build: Build, stage: u32, phase: Phase, cap: f64, age: Ms) -> Self {
        StageNews { valid: true, unsure: false, answer: false, build, stage, phase, cap, age }
    }

    /// A vote that did not count, or may have and no answer came.
    pub fn not_counted(build: Build, stage: u32, unsure: bool) -> Self {
        let (valid, answer, phase, cap, age) = (false, true, Phase::OnTrial, 0.0, 0.0);
        StageNews { valid, unsure, answer, build, stage, phase, cap, age }
    }
}

/// Where this gateway stands among its like.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Place {
    pub me: u32,
    pub gateways: u32,
    pub zone: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    InquiryLike,
    Referenced,
    OnceOnly,
}

/// Which instances drop repeats of a referenced txn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Product {
    pub name: String,
    pub effect: Effect,
    pub group: Group,
    /// How long repeats are dropped, from the first send that may have run.
    pub remember: Ms,
    pub sla: Ms,
    /// The SLA time grows by this multiple of the txn's own work.
    pub sla_stretch: f64,
    pub expiry: Ms,
    pub revenue: f64,
    pub late_share: f64,
    pub streamed: bool,
}

impl Product {
    /// The SLA time of one txn.
    pub fn sla_for(&self, work: Option<Ms>) -> Ms {
        self.sla + self.sla_stretch * work.unwrap_or(0.0)
    }
}

/// What a gateway may do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Permits {
    pub submissions: usize,
    pub second_copies: bool,
    pub recall: bool,
    pub probes: bool,
    pub peers: bool,
    /// The longest time to come back that clients honour; none where they get no such advice.
    pub come_back: Option<Ms>,
}

/// The figures of drains and of the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListTerms {
    /// The list has to be asked for.
    pub asked: bool,
    pub ask_within: Ms,
    pub drain_grace: Ms,
}

/// How instances start, and what tips a cold one over.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ColdStart {
    pub from: f64,
    pub warm_up: Ms,
    pub multiple: f64,
    pub span: Ms,
}

/// The rule on exposure.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ExposureTerms {
    pub free: f64,
    pub caps: Vec<f64>,
    pub window: Ms,
    pub by_product: bool,
    pub closed_stages: u32,
    pub no_return: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VoteMode {
    #[default]
    Single,
    Majority,
    Clocked,
}

/// How builds are voted on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VoteTerms {
    pub mode: VoteMode,
    pub to_go: u32,
    pub to_pause: u32,
    pub to_revert: u32,
    /// How long a vote stands.
    pub stands: Ms,
    pub soak: Ms,
    pub auto_after: Ms,
    pub answer_within: Ms,
    /// The earlier instances stay until the release.
    pub beside: bool,
}

/// What it costs to cross zones, per txn that does.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Costs {
    pub cross_zone: f64,
}

/// Where servers give load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    Silent,
    InAnswers,
    InProbes,
}

/// What a front on sockets has to know of connections.
#[derive(Clone, Debug, PartialEq)]
pub struct Connections {
    /// Idle connections to a server end after this.
    pub idle: Ms,
    /// A connection that is not up by then never comes up.
    pub dial_within: Ms,
    /// How long the answer to a vote is waited for.
    pub vote_within: Ms,
    pub probes: bool,
    pub reports: Reports,
}

/// How far the decisions stand, for a front that hands them on instead of asking for each txn. Shares,
/// weights and health in it are decided; what such a front still owes to the rules is in `crates/proxy-config`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outlook {
    /// Builds on trial among the ready instances, lowest first.
    pub trials: Vec<Trial>,
    /// Share of the txns that the trial is to carry, before the cap: the top-two pick at parity.
    pub share: f64,
    /// The newest build was found bad here, whatever the platform says by now.
    pub condemned: bool,
    /// Share of all txns to decline at once.
    pub shed: f64,
    /// All instances that are on the list.
    pub instances: Vec<Outlooked>,
}

/// A build on trial: its cap and stage, as the rule on exposure counts them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trial {
    pub build: Build,
    pub cap: f64,
    pub stage: u32,
}

/// How one instance stands.
#[derive(Clone, Debug, PartialEq)]
pub struct Outlooked {
    pub instance: String,
    pub build: Build,
    pub zone: String,
    /// It wants new txns, as the list says.
    pub ready: bool,
    /// It is left aside for now.
    pub aside: bool,
    /// Its weight, times the least share of its capacity that it has by now.
    pub capacity: f64,
    /// It is still within the told warm-up.
    pub cold: bool,
}
