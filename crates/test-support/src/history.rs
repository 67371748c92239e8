//! What clients, servers, discovery and processes saw during a run, and the rules that it is judged by.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time since the start of the run.
pub type Moment = Duration;

/// An answer may come this long after the time of its request.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// What discovery lists counts as told this long after it could be reached, arrived or not.
const MAX_UPDATE_DELAY: Duration = Duration::from_secs(6);
/// How far the fakes' clocks lag behind what they record.
const RECORDING_SLACK: Duration = Duration::from_millis(300);
/// A close that is seen this soon after a query may have crossed it.
const MAX_CROSSING: Duration = Duration::from_millis(50);

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// It got its own value.
    Served,
    /// It got a value that no server made for it.
    WrongValue,
    /// It was told that it was not executed.
    Rejected,
    /// It was told that it failed.
    Failed,
    /// Its connection ended without an answer.
    Closed,
    /// Nothing came.
    Unanswered,
}

/// A request, as its client saw it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Its id.
    pub id: String,
    /// Its gateway.
    pub gateway: usize,
    /// It may take effect once only.
    pub is_once_only: bool,
    /// When its last byte was written.
    pub sent_at: Moment,
    /// For how long the client waits.
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
    /// It was executed, or may have been.
    pub is_executed: bool,
}

/// A change of the endpoint list.
#[derive(Clone, Debug)]
pub struct StatusChangeRecord {
    /// The server.
    pub server: usize,
    /// When it was listed.
    pub at: Moment,
    /// It takes new requests.
    pub is_ready: bool,
    /// When it was written to each gateway that it was written to.
    pub written_at: BTreeMap<usize, Moment>,
}

/// What happened to a gateway's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEvent {
    /// It was started.
    Started,
    /// It was asked to end.
    Terminated,
    /// It was killed.
    Killed,
}

/// What happened to a gateway's process, and when.
#[derive(Clone, Copy, Debug)]
pub struct ProcessRecord {
    /// The gateway.
    pub gateway: usize,
    /// When.
    pub at: Moment,
    /// What.
    pub event: ProcessEvent,
}

/// A time in which a gateway could not reach discovery.
#[derive(Clone, Copy, Debug)]
pub struct OutageRecord {
    /// The gateway.
    pub gateway: usize,
    /// From when.
    pub from: Moment,
    /// Until when.
    pub until: Moment,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Break {
    /// A request got no final answer in time.
    Lost {
        /// The request.
        id: String,
        /// How it ended.
        end: RequestEnd,
    },
    /// A request that may take effect once only was executed more often, or again after it was said not to be.
    Duplicate {
        /// The request.
        id: String,
    },
    /// A query went to a server that was told to drain or is gone.
    Drain {
        /// The request.
        id: String,
        /// Its gateway.
        gateway: usize,
        /// The server.
        server: usize,
        /// When it arrived.
        at: Moment,
        /// How long after its gateway was told.
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
    /// The rules that were broken; `drain_grace`: how long queries may go to a server that was told to drain.
    pub fn breaks(&self, drain_grace: Duration) -> Vec<Break> {
        let lost = self.requests.iter().filter(|request| self.is_lost(request));
        let mut breaks: Vec<Break> =
            lost.map(|request| Break::Lost { id: request.id.clone(), end: request.end }).collect();
        breaks.extend(self.duplicates());
        let gateways: BTreeMap<&str, usize> =
            self.requests.iter().map(|request| (request.id.as_str(), request.gateway)).collect();
        for arrival in &self.arrivals {
            if let Some(gateway) = gateways.get(arrival.id.as_str())
                && let Some(after) = self.time_since_notified(*gateway, arrival)
                && after > drain_grace + RECORDING_SLACK
            {
                breaks.push(Break::Drain {
                    id: arrival.id.clone(),
                    gateway: *gateway,
                    server: arrival.server,
                    at: arrival.at,
                    after,
                });
            }
        }
        breaks
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

    /// A process that ends may close a connection on which it has read nothing.
    fn may_have_crossed(&self, request: &RequestRecord) -> bool {
        let is_ending = self.last_event(request.gateway, request.ended_at) == Some(ProcessEvent::Terminated);
        is_ending && request.ended_at <= request.sent_at + MAX_CROSSING
    }

    /// The process was killed without notice while the request was out.
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

    fn duplicates(&self) -> Vec<Break> {
        let mut executions: BTreeMap<&str, usize> = BTreeMap::new();
        for arrival in self.arrivals.iter().filter(|arrival| arrival.is_executed) {
            *executions.entry(arrival.id.as_str()).or_default() += 1;
        }
        let once_only = self.requests.iter().filter(|request| request.is_once_only);
        let broken = once_only.filter(|request| {
            let count = executions.get(request.id.as_str()).copied().unwrap_or(0);
            count > 1 || (count == 1 && request.end == RequestEnd::Rejected)
        });
        broken.map(|request| Break::Duplicate { id: request.id.clone() }).collect()
    }

    /// Time since the gateway was told that a server drains or is gone; none where the server is ready or it was not.
    fn time_since_notified(&self, gateway: usize, arrival: &ArrivalRecord) -> Option<Duration> {
        let listed = self
            .status_changes
            .iter()
            .filter(|change| change.server == arrival.server && change.at <= arrival.at + RECORDING_SLACK);
        // Since it was last listed as ready, it counts from its first listing as something else.
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

    /// When the process that ran at a time was started.
    fn started_at(&self, gateway: usize, at: Moment) -> Moment {
        let starts = self.processes.iter().filter(|record| {
            record.gateway == gateway && record.event == ProcessEvent::Started && record.at <= at
        });
        starts.map(|record| record.at).max().unwrap_or(Moment::ZERO)
    }
}
