//! The records of clients, servers, discovery and processes during a run, and a checker of the rules that every run
//! must follow.

use std::collections::BTreeMap;
use std::time::Duration;

/// An instant, as the time since the start of the run.
pub type Moment = Duration;

/// A final status may arrive this long after the timeout of its request.
const FINAL_STATUS_TOLERANCE: Duration = Duration::from_millis(500);
/// A gateway that can reach discovery counts as notified of a change of the list after this time, even if no list with
/// the change was written to that gateway.
const MAX_UPDATE_DELAY: Duration = Duration::from_secs(6);
/// An event may be recorded this long after it happened.
const RECORDING_TOLERANCE: Duration = Duration::from_millis(300);
/// If a connection closes this soon after a query was sent, the gateway may have closed it before the query arrived.
const MAX_CLOSE_RACE_DURATION: Duration = Duration::from_millis(50);

/// How a request ended, as seen by its client. The soak experiment prints the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The response contains the request's own value.
    Served,
    /// The response contains the value of another request.
    WrongValue,
    /// The response is an error that means "not executed".
    Rejected,
    /// The response is an error after which the request may have been executed.
    Failed,
    /// The connection was closed without a complete response.
    Closed,
    /// No complete response arrived on the open connection before the client stopped waiting.
    Unanswered,
}

/// A request, as recorded by its client.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The id, which is unique in a run.
    pub id: String,
    /// The index of the gateway that received the request.
    pub gateway: usize,
    /// Set when the request must not be executed more than once.
    pub is_non_idempotent: bool,
    /// When the last byte of the query was written.
    pub sent_at: Moment,
    /// The timeout that the client sent with the request, counted from `sent_at`.
    pub timeout: Duration,
    /// How the request ended.
    pub end: RequestEnd,
    /// When the client received the response, noticed the close, or stopped waiting.
    pub ended_at: Moment,
}

/// A query that arrived at a server.
#[derive(Clone, Debug)]
pub struct ArrivalRecord {
    /// The id of the request that the query belongs to.
    pub id: String,
    /// The index of the server.
    pub server: usize,
    /// When the server received the query.
    pub at: Moment,
    /// Set when the query may have been executed.
    pub is_executed: bool,
}

/// A change of a server's status in the endpoint list.
#[derive(Clone, Debug)]
pub struct StatusChangeRecord {
    /// The index of the server.
    pub server: usize,
    /// When the list changed.
    pub at: Moment,
    /// Set when the server is listed as ready for new requests; otherwise draining or removed.
    pub is_ready: bool,
    /// When a list with the change was first written to each gateway; no entry for gateways to which none was written.
    pub written_at: BTreeMap<usize, Moment>,
}

/// A start or a signal of a gateway's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEvent {
    /// The process was started.
    Started,
    /// SIGTERM was sent, which requests a shutdown.
    Terminated,
    /// SIGKILL was sent.
    Killed,
}

/// An event of a gateway's process, and when it happened.
#[derive(Clone, Copy, Debug)]
pub struct ProcessRecord {
    /// The index of the gateway.
    pub gateway: usize,
    /// When the event happened.
    pub at: Moment,
    /// What happened.
    pub event: ProcessEvent,
}

/// A period in which a gateway could not reach discovery.
#[derive(Clone, Copy, Debug)]
pub struct OutageRecord {
    /// The index of the gateway.
    pub gateway: usize,
    /// The start of the period, inclusive.
    pub from: Moment,
    /// The end of the period, exclusive.
    pub until: Moment,
}

/// A violation of a rule. The soak experiment prints violations by the names of their variants and fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A request received no final status in time, or a wrong value.
    Lost {
        /// The id of the request.
        id: String,
        /// How the request ended.
        end: RequestEnd,
    },
    /// A non-idempotent request was executed more than once, or was executed and rejected.
    Duplicate {
        /// The id of the request.
        id: String,
    },
    /// A query arrived at a server although the gateway had been notified that the server was draining or removed.
    Drain {
        /// The id of the request.
        id: String,
        /// The index of the gateway that sent the query.
        gateway: usize,
        /// The index of the server.
        server: usize,
        /// When the query arrived.
        at: Moment,
        /// The time from the notification of the gateway to the arrival.
        after: Duration,
    },
}

/// All records of a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The requests of all clients, in any order.
    pub requests: Vec<RequestRecord>,
    /// The queries that arrived at all servers, in any order.
    pub arrivals: Vec<ArrivalRecord>,
    /// The changes of the endpoint list, in order.
    pub status_changes: Vec<StatusChangeRecord>,
    /// The starts and signals of the gateways' processes, in order.
    pub processes: Vec<ProcessRecord>,
    /// The periods in which gateways could not reach discovery, in any order.
    pub outages: Vec<OutageRecord>,
}

impl History {
    /// All violations of the rules. `drain_grace` is how long a gateway may continue to send queries to a draining
    /// server after the notification.
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
                && after > drain_grace + RECORDING_TOLERANCE
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
                request.ended_at
                    > request.sent_at + request.timeout + FINAL_STATUS_TOLERANCE + RECORDING_TOLERANCE
            }
            RequestEnd::Closed if self.may_have_been_closed_before_arrival(request) => false,
            RequestEnd::Closed | RequestEnd::Unanswered => !self.was_killed_while_pending(request),
        }
    }

    /// Returns `true` if the query may have arrived after the gateway closed the connection: a gateway that is shutting
    /// down may close a connection on which it has read no query.
    fn may_have_been_closed_before_arrival(&self, request: &RequestRecord) -> bool {
        let is_shutting_down =
            self.last_event(request.gateway, request.ended_at) == Some(ProcessEvent::Terminated);
        is_shutting_down && request.ended_at <= request.sent_at + MAX_CLOSE_RACE_DURATION
    }

    /// Returns `true` if SIGKILL was sent while the request was pending, without SIGTERM since the start of the
    /// process.
    fn was_killed_while_pending(&self, request: &RequestRecord) -> bool {
        let mut was_terminated = false;
        for record in self.processes.iter().filter(|record| record.gateway == request.gateway) {
            match record.event {
                ProcessEvent::Started => was_terminated = false,
                ProcessEvent::Terminated => was_terminated = true,
                ProcessEvent::Killed => {
                    let is_during = record.at + RECORDING_TOLERANCE >= request.sent_at
                        && record.at <= request.ended_at + RECORDING_TOLERANCE;
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

    /// The time since the gateway was notified that the server is draining or removed. `None` if the server is ready,
    /// or the gateway was not notified before the query arrived.
    fn time_since_notified(&self, gateway: usize, arrival: &ArrivalRecord) -> Option<Duration> {
        let listed = self.status_changes.iter().filter(|change| {
            change.server == arrival.server && change.at <= arrival.at + RECORDING_TOLERANCE
        });
        // The notification is the first change after the server was last listed as ready.
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

    /// When the process that ran at this instant was started.
    fn started_at(&self, gateway: usize, at: Moment) -> Moment {
        let starts = self.processes.iter().filter(|record| {
            record.gateway == gateway && record.event == ProcessEvent::Started && record.at <= at
        });
        starts.map(|record| record.at).max().unwrap_or(Moment::ZERO)
    }
}
