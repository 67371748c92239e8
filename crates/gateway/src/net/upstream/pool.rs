//! The pool of connections to endpoints.

use super::call::{CancelResult, UpstreamCall};
use super::connection::{AssignedQuery, UpstreamConnection};
use super::connection_task;
use super::endpoint::UpstreamEndpoint;
use super::unsolicited::UnsolicitedBytes;
use crate::counters::COUNTERS;
use crate::invariant;
use crate::limits::upstream::{MAX_LARGE_RESPONSES, max_idle_for_reuse};
use crate::net::DriverEvent;
use crate::proto::pg::{self, Statement};
use latchhaven_policy::{EndpointEntry, EndpointStatus, LoadReporting, Millis, UpstreamConnectionConfig};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{Instant, sleep_until};

/// The query of health checks, unless they also have to return the endpoint's load.
const HEALTH_CHECK_QUERY: &str = "SELECT 1";
/// The query of health checks whose row contains the endpoint's load.
const LOAD_QUERY: &str = "SHOW load";

/// A call that the pool is to send.
pub struct QueuedCall {
    /// Unique among the calls of the process.
    pub call: UpstreamCall,
    /// The statement of an attempt; `None` for a health check.
    pub statement: Option<Rc<Statement>>,
    /// When the gateway stops waiting for the response. The endpoint receives the time that remains at the write.
    pub deadline: Millis,
    /// The last byte is written before this instant or never; `None` without a limit.
    pub write_deadline: Option<Instant>,
}

/// All connections to endpoints.
pub struct UpstreamPool {
    endpoints: BTreeMap<String, UpstreamEndpoint>,
    /// The connections of the calls that were assigned to one.
    assigned: BTreeMap<UpstreamCall, Rc<UpstreamConnection>>,
    /// Connections that are being opened, open, or closing until their task reports the close. Exceeds
    /// `max_connections` while idle connections are being closed in favor of others.
    open_connections: usize,
    max_connections: usize,
    last_generation: u64,
    config: UpstreamConnectionConfig,
    large_responses: Arc<Semaphore>,
    unsolicited: Rc<UnsolicitedBytes>,
    events: mpsc::Sender<DriverEvent>,
}

impl UpstreamPool {
    /// A pool without endpoints, for at most `max_connections` connections to all of them.
    #[must_use]
    pub fn new(
        max_connections: usize, config: UpstreamConnectionConfig, events: mpsc::Sender<DriverEvent>,
    ) -> Self {
        UpstreamPool {
            endpoints: BTreeMap::new(),
            assigned: BTreeMap::new(),
            open_connections: 0,
            max_connections,
            last_generation: 0,
            config,
            large_responses: Arc::new(Semaphore::new(MAX_LARGE_RESPONSES)),
            unsolicited: Rc::default(),
            events,
        }
    }

    /// Applies an entry of the endpoint list. If the entry begins a new generation of the endpoint or removes the
    /// endpoint, returns the queued calls, which the caller reports as not sent so that the policy routes them again.
    pub fn update_endpoint(&mut self, entry: &EndpointEntry, address: SocketAddr) -> Vec<UpstreamCall> {
        if entry.status == EndpointStatus::Removed {
            return self.remove_endpoint(&entry.endpoint);
        }
        if let Some(endpoint) = self.endpoints.get_mut(&entry.endpoint) {
            if endpoint.update(entry, address) {
                return Vec::new();
            }
            self.last_generation += 1;
            return endpoint.begin_generation(self.last_generation);
        }
        self.last_generation += 1;
        let endpoint = UpstreamEndpoint::new(entry, address, self.last_generation);
        self.endpoints.insert(entry.endpoint.clone(), endpoint);
        Vec::new()
    }

    /// Removes an endpoint that is no longer listed. Returns the queued calls, which the caller reports as not sent so
    /// that the policy routes them again.
    pub fn remove_endpoint(&mut self, endpoint: &str) -> Vec<UpstreamCall> {
        let Some(mut endpoint) = self.endpoints.remove(endpoint) else { return Vec::new() };
        endpoint.close_idle();
        endpoint.take_queue()
    }

    /// Sets the metrics of endpoints and connections.
    pub fn record_metrics(&self) {
        COUNTERS.listed_endpoints.set(self.endpoints.len());
        COUNTERS.open_server_connections.set(self.open_connections);
    }

    /// The ids of the endpoints, in alphabetical order.
    #[must_use]
    pub fn endpoints(&self) -> Vec<String> {
        self.endpoints.keys().cloned().collect()
    }

    /// Removes and returns all queued calls, which the caller reports as not sent so that the policy routes them again.
    pub fn take_queued(&mut self) -> Vec<UpstreamCall> {
        self.endpoints.values_mut().flat_map(UpstreamEndpoint::take_queue).collect()
    }

    /// Sends a call on an idle connection, or queues it for one that settles or that is opened for it. Returns `false`
    /// if the endpoint is unknown, or the limit of connections is reached and none is idle: the call is neither sent
    /// nor queued then.
    pub fn send(&mut self, endpoint_id: &str, queued: QueuedCall, now: Millis) -> bool {
        let max_idle = max_idle_for_reuse(self.config.idle_timeout);
        let Some(endpoint) = self.endpoints.get_mut(endpoint_id) else { return false };
        if let Some(connection) = endpoint.take_settled(max_idle) {
            self.start_call(connection, &queued, now);
            return true;
        }
        let queued = match endpoint.queue_for_settling(queued) {
            Ok(newly_awaited) => {
                if let Some(connection) = newly_awaited {
                    self.report_when_settled(connection);
                }
                return true;
            }
            Err(queued) => queued,
        };
        if !self.has_room_for_connection() {
            return false;
        }
        let Some(endpoint) = self.endpoints.get_mut(endpoint_id) else { return false };
        endpoint.queue_for_new_connection(queued);
        self.open_connection(endpoint_id);
        true
    }

    /// Assigns the oldest queued call that `may_be_sent` confirms to a connection that is ready, or makes the connection
    /// idle. `is_newly_opened`: the connection was just opened. Returns the queued calls that may not be sent any more,
    /// which the caller reports as not sent.
    #[must_use]
    pub fn on_connection_ready(
        &mut self, connection: Rc<UpstreamConnection>, is_newly_opened: bool, now: Millis,
        mut may_be_sent: impl FnMut(UpstreamCall) -> bool,
    ) -> Vec<UpstreamCall> {
        let mut refused = Vec::new();
        let Some(endpoint) = self.endpoints.get_mut(&connection.endpoint) else {
            connection.close();
            return refused;
        };
        if endpoint.generation != connection.generation || connection.is_closed.get() {
            connection.close();
            return refused;
        }
        if is_newly_opened {
            endpoint.end_connecting();
        }
        let Some(mut queued) = endpoint.add_idle(&connection, self.unsolicited.settle_time(&connection))
        else {
            if connection.is_awaited.get() {
                self.report_when_settled(connection);
            }
            return refused;
        };
        while !may_be_sent(queued.call) {
            refused.push(queued.call);
            let Some(next) = endpoint.take_oldest_queued() else {
                endpoint.return_idle(connection);
                return refused;
            };
            queued = next;
        }
        self.start_call(connection, &queued, now);
        refused
    }

    /// Records that a connection could not be opened. Returns the oldest queued call, which the caller reports as
    /// failed, if more calls are queued than connections can be waited for.
    pub fn on_connect_failed(&mut self, connection: &Rc<UpstreamConnection>) -> Option<UpstreamCall> {
        self.open_connections -= 1;
        let endpoint = self.endpoints.get_mut(&connection.endpoint)?;
        if endpoint.generation != connection.generation {
            return None;
        }
        endpoint.end_connecting();
        endpoint.take_call_without_connection().map(|queued| queued.call)
    }

    /// Records that a connection which was ready before has closed. If a call waited for it, opens another one. Returns
    /// the oldest queued call, which the caller reports as not sent, if the limit of connections is reached.
    pub fn on_connection_closed(&mut self, connection: &Rc<UpstreamConnection>) -> Option<UpstreamCall> {
        invariant!(connection.call.get().is_none(), "a closed connection has no call");
        self.open_connections -= 1;
        let endpoint = self.endpoints.get_mut(&connection.endpoint)?;
        endpoint.remove_idle(connection);
        let unassigned = endpoint.take_call_without_connection()?;
        if !self.has_room_for_connection() {
            return Some(unassigned.call);
        }
        let endpoint = self.endpoints.get_mut(&connection.endpoint)?;
        endpoint.queue_for_new_connection(unassigned);
        self.open_connection(&connection.endpoint);
        None
    }

    /// Removes the call that has ended on a connection and returns it; `None` if the call was cancelled before.
    pub fn on_call_ended(&mut self, connection: &Rc<UpstreamConnection>) -> Option<UpstreamCall> {
        let call = connection.call.take()?;
        self.assigned.remove(&call);
        Some(call)
    }

    /// Cancels a call by removing it from the queue or closing its connection.
    pub fn cancel(&mut self, endpoint: &str, call: UpstreamCall) -> CancelResult {
        if self.cancel_unwritten(endpoint, call) {
            return CancelResult::Unwritten;
        }
        let Some(connection) = self.assigned.remove(&call) else { return CancelResult::NotFound };
        connection.call.set(None);
        connection.close();
        CancelResult::Written
    }

    /// Cancels a call whose last byte was not written yet. Returns `false` if the byte was written, or the call is not
    /// in the pool.
    pub fn cancel_unwritten(&mut self, endpoint: &str, call: UpstreamCall) -> bool {
        if let Some(connection) = self.assigned.get(&call)
            && !connection.is_written.get()
        {
            connection.call.set(None);
            connection.close();
            self.assigned.remove(&call);
            return true;
        }
        self.endpoints.get_mut(endpoint).is_some_and(|endpoint| endpoint.remove_queued(call))
    }

    /// Closes the idle connections to an endpoint, if the endpoint is known.
    pub fn close_idle(&mut self, endpoint: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.close_idle();
        }
    }

    /// Returns `true` if another connection may be opened; closes an idle one for that if the limit is reached.
    fn has_room_for_connection(&mut self) -> bool {
        self.open_connections < self.max_connections || self.close_longest_idle()
    }

    /// Opens a connection for the queue of an endpoint, if the endpoint is known.
    fn open_connection(&mut self, endpoint_id: &str) {
        let Some(endpoint) = self.endpoints.get(endpoint_id) else { return };
        self.open_connections += 1;
        COUNTERS.server_connections_max.record_max(self.open_connections);
        COUNTERS.server_connects_total.increment();
        let connection = Rc::new(UpstreamConnection::new(endpoint_id, endpoint.generation));
        let address = endpoint.address;
        let task = connection_task::run(
            connection,
            address,
            self.config.clone(),
            self.large_responses.clone(),
            self.unsolicited.clone(),
            self.events.clone(),
        );
        tokio::task::spawn_local(task);
    }

    /// Closes the connection that has been idle for the longest time; the file descriptor is released when its task
    /// runs. Returns `false` if no connection is idle, except for those on which calls wait.
    fn close_longest_idle(&mut self) -> bool {
        let longest_idle = |endpoint: &&mut UpstreamEndpoint| endpoint.longest_idle_since();
        let endpoints =
            self.endpoints.values_mut().filter(|endpoint| endpoint.longest_idle_since().is_some());
        let Some(endpoint) = endpoints.min_by_key(longest_idle) else { return false };
        endpoint.close_longest_idle();
        true
    }

    /// Reports a connection as ready once it is settled.
    fn report_when_settled(&self, connection: Rc<UpstreamConnection>) {
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            sleep_until(connection.settled_at.get()).await;
            let _ = events.send(DriverEvent::ConnectionReady { connection, is_newly_opened: false }).await;
        });
    }

    fn start_call(&mut self, connection: Rc<UpstreamConnection>, queued: &QueuedCall, now: Millis) {
        let previous = connection.call.replace(Some(queued.call));
        invariant!(previous.is_none(), "one call at a time on a connection");
        connection.is_written.set(false);
        let query = match &queued.statement {
            Some(statement) => pg::encode::forwarded_query(statement, queued.deadline - now),
            None if self.config.load_reporting == LoadReporting::InHealthChecks => {
                pg::encode::query(LOAD_QUERY).into()
            }
            None => pg::encode::query(HEALTH_CHECK_QUERY).into(),
        };
        connection.outgoing.replace(Some(AssignedQuery { query, write_deadline: queued.write_deadline }));
        connection.wake.notify_one();
        self.assigned.insert(queued.call, connection);
    }
}
