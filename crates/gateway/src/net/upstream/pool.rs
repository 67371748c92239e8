//! The pool of connections to endpoints.

use super::call::{CancelResult, UpstreamCall};
use super::connection::{OutgoingQuery, UpstreamConnection};
use super::connection_task;
use crate::counters::COUNTERS;
use crate::invariant;
use crate::limits::upstream::{MAX_LARGE_RESPONSES, max_idle_for_reuse};
use crate::net::{DriverEvent, is_unusable};
use crate::proto::pg::{self, Statement};
use latchhaven_policy::{EndpointEntry, EndpointStatus, LoadReporting, Millis, UpstreamConnectionConfig};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::Instant;

/// A call that is to be sent.
pub struct QueuedCall {
    /// Identifies the call.
    pub call: UpstreamCall,
    /// None: a health check.
    pub statement: Option<Rc<Statement>>,
    /// When the gateway stops waiting for the answer, in ms.
    pub deadline: Millis,
    /// Its last byte may not be written later.
    pub write_by: Option<Instant>,
}

/// An endpoint of the list.
struct UpstreamEndpoint {
    address: SocketAddr,
    /// Changes with the address, version or start time of the endpoint with this id, and when it starts to drain. Logged as
    /// `pool_generation`; the policy counts incarnations of its own.
    generation: u64,
    entry: EndpointEntry,
    /// In the order in which they became idle.
    idle: Vec<Rc<UpstreamConnection>>,
    /// Connections of this generation that are being opened.
    connecting: usize,
    queue: VecDeque<QueuedCall>,
}

impl UpstreamEndpoint {
    fn new(entry: &EndpointEntry, address: SocketAddr, generation: u64) -> Self {
        UpstreamEndpoint {
            address,
            generation,
            entry: entry.clone(),
            idle: Vec::new(),
            connecting: 0,
            queue: VecDeque::new(),
        }
    }

    /// The entry describes the same generation, and calls that were queued for it can still be sent.
    fn is_continued_by(&self, entry: &EndpointEntry, address: SocketAddr) -> bool {
        let is_same = self.address == address
            && self.entry.version == entry.version
            && self.entry.started_at == entry.started_at;
        is_same && (self.entry.status == entry.status || entry.status == EndpointStatus::Ready)
    }

    /// Closes idle connections; those that are being opened belong to the previous generation. Returns the queued
    /// calls.
    fn begin_generation(&mut self, generation: u64) -> Vec<UpstreamCall> {
        self.generation = generation;
        self.connecting = 0;
        self.close_idle();
        self.take_queue()
    }

    fn close_idle(&mut self) {
        for connection in self.idle.drain(..) {
            connection.close();
        }
    }

    fn take_queue(&mut self) -> Vec<UpstreamCall> {
        self.queue.drain(..).map(|queued| queued.call).collect()
    }
}

/// All connections to endpoints.
pub struct UpstreamPool {
    endpoints: BTreeMap<String, UpstreamEndpoint>,
    /// The calls that were assigned to a connection.
    active: BTreeMap<UpstreamCall, Rc<UpstreamConnection>>,
    /// Connections being opened, open, or closing until their task reports it: exceeds `max_open` by evicted ones.
    open: usize,
    max_open: usize,
    last_generation: u64,
    config: UpstreamConnectionConfig,
    large_answers: Arc<Semaphore>,
    events: mpsc::Sender<DriverEvent>,
}

impl UpstreamPool {
    /// A pool of at most `max_open` connections, without endpoints.
    #[must_use]
    pub fn new(max_open: usize, config: UpstreamConnectionConfig, events: mpsc::Sender<DriverEvent>) -> Self {
        UpstreamPool {
            endpoints: BTreeMap::new(),
            active: BTreeMap::new(),
            open: 0,
            max_open,
            last_generation: 0,
            config,
            large_answers: Arc::new(Semaphore::new(MAX_LARGE_RESPONSES)),
            events,
        }
    }

    /// Applies an entry of the list. Returns the queued calls of the previous generation, which have to be routed again.
    pub fn update_endpoint(&mut self, entry: &EndpointEntry, address: SocketAddr) -> Vec<UpstreamCall> {
        if entry.status == EndpointStatus::Removed {
            return self.remove_endpoint(&entry.endpoint);
        }
        if let Some(endpoint) = self.endpoints.get_mut(&entry.endpoint) {
            let is_continued = endpoint.is_continued_by(entry, address);
            endpoint.entry = entry.clone();
            endpoint.address = address;
            if is_continued {
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

    /// Removes an endpoint that is not listed any more. Returns its queued calls, which have to be routed again.
    pub fn remove_endpoint(&mut self, endpoint: &str) -> Vec<UpstreamCall> {
        let Some(mut endpoint) = self.endpoints.remove(endpoint) else { return Vec::new() };
        endpoint.close_idle();
        endpoint.take_queue()
    }

    /// Sets the metrics of endpoints and connections.
    pub fn record_metrics(&self) {
        COUNTERS.listed_endpoints.set(self.endpoints.len());
        COUNTERS.open_server_connections.set(self.open);
    }

    /// The endpoints of the list.
    #[must_use]
    pub fn endpoints(&self) -> Vec<String> {
        self.endpoints.keys().cloned().collect()
    }

    /// Removes and returns all calls that wait for a connection; they have to be routed again.
    pub fn take_queued(&mut self) -> Vec<UpstreamCall> {
        self.endpoints.values_mut().flat_map(UpstreamEndpoint::take_queue).collect()
    }

    /// Sends a call on an idle connection, or opens one. `now` in ms. False: no connection is available, and nothing was
    /// sent.
    pub fn send(&mut self, endpoint: &str, queued: QueuedCall, now: Millis) -> bool {
        if !self.endpoints.contains_key(endpoint) {
            return false;
        }
        if let Some(connection) = self.take_idle(endpoint) {
            self.start_call(connection, &queued, now);
            return true;
        }
        if self.open >= self.max_open && !self.close_longest_idle() {
            return false;
        }
        self.open_connection(endpoint, queued)
    }

    /// A connection is ready: it carries the call that has waited longest, or idles. `now` in ms.
    pub fn on_connection_ready(
        &mut self, connection: Rc<UpstreamConnection>, is_newly_opened: bool, now: Millis,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&connection.endpoint) else { return connection.close() };
        if endpoint.generation != connection.generation || connection.is_closed.get() {
            return connection.close();
        }
        endpoint.connecting -= usize::from(is_newly_opened);
        if let Some(queued) = endpoint.queue.pop_front() {
            self.start_call(connection, &queued, now);
            return;
        }
        connection.idle_since.set(Instant::now());
        endpoint.idle.push(connection);
    }

    /// A connection could not be opened. Returns the oldest queued call if too few connections are being opened for all.
    pub fn on_connect_failed(&mut self, connection: &Rc<UpstreamConnection>) -> Option<UpstreamCall> {
        self.open -= 1;
        let endpoint = self.endpoints.get_mut(&connection.endpoint)?;
        if endpoint.generation != connection.generation {
            return None;
        }
        endpoint.connecting -= 1;
        // None is returned where as many connections are being opened as calls are queued.
        if endpoint.queue.len() <= endpoint.connecting {
            return None;
        }
        endpoint.queue.pop_front().map(|queued| queued.call)
    }

    /// A connection has closed.
    pub fn on_connection_closed(&mut self, connection: &Rc<UpstreamConnection>) {
        invariant!(connection.call.get().is_none(), "a closed connection has no call");
        self.open -= 1;
        if let Some(endpoint) = self.endpoints.get_mut(&connection.endpoint) {
            endpoint.idle.retain(|idle| !Rc::ptr_eq(idle, connection));
        }
    }

    /// The call on a connection has ended. None: it was cancelled before.
    pub fn on_call_ended(&mut self, connection: &Rc<UpstreamConnection>) -> Option<UpstreamCall> {
        let call = connection.call.take()?;
        self.active.remove(&call);
        Some(call)
    }

    /// Cancels a call: removes it from the queue, or closes its connection.
    pub fn cancel(&mut self, endpoint: &str, call: UpstreamCall) -> CancelResult {
        if self.abort_unsent(endpoint, call) {
            return CancelResult::Unwritten;
        }
        let Some(connection) = self.active.remove(&call) else { return CancelResult::NotFound };
        connection.call.set(None);
        connection.close();
        CancelResult::Written
    }

    /// Cancels a call if its last byte was not written yet. False: it was written, or there is no such call.
    pub fn abort_unsent(&mut self, endpoint: &str, call: UpstreamCall) -> bool {
        if let Some(connection) = self.active.get(&call)
            && !connection.is_written.get()
        {
            connection.call.set(None);
            connection.close();
            self.active.remove(&call);
            return true;
        }
        let Some(endpoint) = self.endpoints.get_mut(endpoint) else { return false };
        let Some(position) = endpoint.queue.iter().position(|queued| queued.call == call) else {
            return false;
        };
        endpoint.queue.remove(position).is_some()
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&mut self, endpoint: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.close_idle();
        }
    }

    /// The usable connection that became idle last; unusable ones are closed.
    fn take_idle(&mut self, endpoint: &str) -> Option<Rc<UpstreamConnection>> {
        let max_idle = max_idle_for_reuse(self.config.idle_timeout);
        let endpoint = self.endpoints.get_mut(endpoint)?;
        while let Some(connection) = endpoint.idle.pop() {
            let is_usable = !connection.is_closed.get()
                && connection.idle_since.get().elapsed() < max_idle
                && !connection.stream.get().is_none_or(is_unusable);
            if is_usable {
                return Some(connection);
            }
            connection.close();
        }
        None
    }

    /// Opens a connection for a call, which waits in the queue.
    fn open_connection(&mut self, endpoint_id: &str, queued: QueuedCall) -> bool {
        self.open += 1;
        COUNTERS.server_connections_max.record_max(self.open);
        COUNTERS.server_connects_total.increment();
        let Some(endpoint) = self.endpoints.get_mut(endpoint_id) else { return false };
        endpoint.queue.push_back(queued);
        endpoint.connecting += 1;
        let connection = Rc::new(UpstreamConnection::new(endpoint_id, endpoint.generation));
        let address = endpoint.address;
        let task = connection_task::run(
            connection,
            address,
            self.config.clone(),
            self.large_answers.clone(),
            self.events.clone(),
        );
        tokio::task::spawn_local(task);
        true
    }

    /// Closes the connection that has idled longest; its descriptor is released when its task runs.
    fn close_longest_idle(&mut self) -> bool {
        let idle_longest = |endpoint: &&mut UpstreamEndpoint| {
            endpoint.idle.iter().map(|connection| connection.idle_since.get()).min()
        };
        let endpoints = self.endpoints.values_mut().filter(|endpoint| !endpoint.idle.is_empty());
        let Some(endpoint) = endpoints.min_by_key(idle_longest) else { return false };
        let connection = endpoint.idle.remove(0);
        connection.close();
        true
    }

    fn start_call(&mut self, connection: Rc<UpstreamConnection>, queued: &QueuedCall, now: Millis) {
        let previous = connection.call.replace(Some(queued.call));
        invariant!(previous.is_none(), "one call at a time on a connection");
        connection.is_written.set(false);
        let buffers = match &queued.statement {
            Some(statement) => pg::encode::forwarded_query(statement, queued.deadline - now).to_vec(),
            None if self.config.load_reporting == LoadReporting::InHealthChecks => {
                vec![pg::encode::query("SHOW load")]
            }
            None => vec![pg::encode::query("SELECT 1")],
        };
        connection.outgoing.replace(Some(OutgoingQuery { buffers, write_by: queued.write_by }));
        connection.wake.notify_one();
        self.active.insert(queued.call, connection);
    }
}
