//! The records of clients, servers, discovery and processes during a run, and the rules that they are checked against.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time since the start of the run.
pub type Moment = Duration;

/// The longest delay of an answer after the timeout of its request.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// A change counts as reported to a gateway this long after discovery was reachable, even if it did not arrive.
const MAX_UPDATE_DELAY: Duration = Duration::from_secs(6);
/// The longest delay of a record after its event.
const RECORDING_SLACK: Duration = Duration::from_millis(300);
/// A connection that closes this soon after a query may have been closed before the query arrived.
const MAX_CROSSING: Duration = Duration::from_millis(50);

/// The end of a request for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// It got its own value.
    Served,
    /// It got the value of another request.
    WrongValue,
    /// It was rejected: definitely not executed.
    Rejected,
    /// It got an error: possibly executed.
    Failed,
    /// Its connection ended without an answer.
    Closed,
    /// It got no answer.
    Unanswered,
}

/// A request, as recorded by its client.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Its id.
    pub id: String,
    /// Its gateway.
    pub gateway: usize,
    /// It must be executed once at most.
    pub is_non_idempotent: bool,
    /// When its last byte was written.
    pub sent_at: Moment,
    /// The client's timeout.
    pub timeout: Duration,
    /// How it ended.
    pub end: RequestEnd,
    /// When it ended.
    pub ended_at: Moment,
}

/// A query that arrived at a server.
#[derive(Clone, Debug)]
pub struct ArrivalRecord {
    /// The id of its request.
    pub id: String,
    /// The server.
    pub server: usize,
    /// When it arrived.
    pub at: Moment,
    /// It was possibly executed.
    pub is_executed: bool,
}

/// A change of the endpoint list.
#[derive(Clone, Debug)]
pub struct StatusChangeRecord {
    /// The server.
    pub server: usize,
    /// When it was listed.
    pub at: Moment,
    /// It accepts new requests.
    pub is_ready: bool,
    /// When it was written to each gateway; gateways without an entry did not get it.
    pub written_at: BTreeMap<usize, Moment>,
}

/// A change of a gateway's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEvent {
    /// It was started.
    Started,
    /// It got SIGTERM.
    Terminated,
    /// It got SIGKILL.
    Killed,
}

/// A change of a gateway's process, and its time.
#[derive(Clone, Copy, Debug)]
pub struct ProcessRecord {
    /// The gateway.
    pub gateway: usize,
    /// The time.
    pub at: Moment,
    /// The change.
    pub event: ProcessEvent,
}

/// A time in which a gateway could not reach discovery.
#[derive(Clone, Copy, Debug)]
pub struct OutageRecord {
    /// The gateway.
    pub gateway: usize,
    /// The start.
    pub from: Moment,
    /// The end.
    pub until: Moment,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A request got no final answer before its timeout.
    Lost {
        /// The request.
        id: String,
        /// How it ended.
        end: RequestEnd,
    },
    /// A non-idempotent request was executed more than once, or was executed and rejected.
    Duplicate {
        /// The request.
        id: String,
    },
    /// A query arrived at a server that the gateway knew to be draining or removed.
    Drain {
        /// The request.
        id: String,
        /// Its gateway.
        gateway: usize,
        /// The server.
        server: usize,
        /// When it arrived.
        at: Moment,
        /// The time since its gateway was notified.
        after: Duration,
    },
}

/// All records of a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests.
    pub requests: Vec<RequestRecord>,
    /// Queries at servers.
    pub arrivals: Vec<ArrivalRecord>,
    /// Changes of the list, in order.
    pub status_changes: Vec<StatusChangeRecord>,
    /// Starts and ends of processes, in order.
    pub processes: Vec<ProcessRecord>,
    /// Outages of discovery.
    pub outages: Vec<OutageRecord>,
}

impl History {
    /// All violations; `drain_grace`: how long after its notification a gateway may send queries to a draining server.
    pub fn violations(&self, drain_grace: Duration) -> Vec<Violation> {
        let lost = self.requests.iter().filter(|request| self.is_lost(request));
        let mut violations: Vec<Violation> =
            lost.map(|request| Violation::Lost { id: request.id.clone(), end: request.end }).collect();
        violations.extend(self.duplicates());
        let gateways: BTreeMap<&str, usize> =
            self.requests.iter().map(|request| (request.id.as_str(), request.gateway)).collect();
        for arrival in &self.arrivals {
            if let Some(gateway) = gateways.get(arrival.id.as_str())
                && let Some(after) = self.time_since_notified(*gateway, arrival)
                && after > drain_grace + RECORDING_SLACK
            {
                violations.push(Violation::Drain {
                    id: arrival.id.clone(),
                    gateway: *gateway,
                    server: arrival.server,
                    at: arrival.at,
                    after,
                });
            }
        }
        violations
    }

    fn is_lost(&self, request: &RequestRecord) -> bool {
        match request.end {
            RequestEnd::WrongValue => true,
            RequestEnd::Served | RequestEnd::Rejected | RequestEnd::Failed => {
                request.ended_at > request.sent_at + request.timeout + ANSWER_SLACK + RECORDING_SLACK
            }
            RequestEnd::Closed if self.may_have_crossed(request) => false,
            RequestEnd::Closed | RequestEnd::Unanswered => !self.was_killed_outright(request),
        }
    }

    /// A process that is shutting down may close a connection on which it has read no query.
    fn may_have_crossed(&self, request: &RequestRecord) -> bool {
        let is_ending = self.last_event(request.gateway, request.ended_at) == Some(ProcessEvent::Terminated);
        is_ending && request.ended_at <= request.sent_at + MAX_CROSSING
    }

    /// The process was killed without notice while the request was in flight.
    fn was_killed_outright(&self, request: &RequestRecord) -> bool {
        let mut was_terminated = false;
        for record in self.processes.iter().filter(|record| record.gateway == request.gateway) {
            match record.event {
                ProcessEvent::Started => was_terminated = false,
                ProcessEvent::Terminated => was_terminated = true,
                ProcessEvent::Killed => {
                    let is_during = record.at + RECORDING_SLACK >= request.sent_at
                        && record.at <= request.ended_at + RECORDING_SLACK;
                    if is_during && !was_terminated {
                        return true;
                    }
                }
            }
        }
        false
    }

    fn last_event(&self, gateway: usize, at: Moment) -> Option<ProcessEvent> {
        let earlier = self.processes.iter().filter(|record| record.gateway == gateway && record.at <= at);
        earlier.max_by_key(|record| record.at).map(|record| record.event)
    }

    fn duplicates(&self) -> Vec<Violation> {
        let mut executions: BTreeMap<&str, usize> = BTreeMap::new();
        for arrival in self.arrivals.iter().filter(|arrival| arrival.is_executed) {
            *executions.entry(arrival.id.as_str()).or_default() += 1;
        }
        let non_idempotent = self.requests.iter().filter(|request| request.is_non_idempotent);
        let duplicated = non_idempotent.filter(|request| {
            let count = executions.get(request.id.as_str()).copied().unwrap_or(0);
            count > 1 || (count == 1 && request.end == RequestEnd::Rejected)
        });
        duplicated.map(|request| Violation::Duplicate { id: request.id.clone() }).collect()
    }

    /// The time since the gateway was notified that a server is draining or removed; none if the server is ready or the
    /// gateway was not notified.
    fn time_since_notified(&self, gateway: usize, arrival: &ArrivalRecord) -> Option<Duration> {
        let listed = self
            .status_changes
            .iter()
            .filter(|change| change.server == arrival.server && change.at <= arrival.at + RECORDING_SLACK);
        // Only the first change after the last listing as ready counts.
        let listed: Vec<&StatusChangeRecord> = listed.collect();
        let since_ready = listed.iter().rposition(|change| change.is_ready).map_or(0, |index| index + 1);
        let first = listed.get(since_ready)?;
        let notified_at = self.notified_at(gateway, first);
        let started_at = self.started_at(gateway, arrival.at);
        arrival.at.checked_sub(notified_at.max(started_at))
    }

    fn notified_at(&self, gateway: usize, change: &StatusChangeRecord) -> Moment {
        let covering = self.outages.iter().filter(|outage| {
            outage.gateway == gateway && outage.from <= change.at && change.at < outage.until
        });
        let reachable_at = covering.map(|outage| outage.until).max().unwrap_or(change.at);
        let notified_at = reachable_at + MAX_UPDATE_DELAY;
        change.written_at.get(&gateway).map_or(notified_at, |written_at| notified_at.min(*written_at))
    }

    /// The start of the process that ran at a time.
    fn started_at(&self, gateway: usize, at: Moment) -> Moment {
        let starts = self.processes.iter().filter(|record| {
            record.gateway == gateway && record.event == ProcessEvent::Started && record.at <= at
        });
        starts.map(|record| record.at).max().unwrap_or(Moment::ZERO)
    }
}
