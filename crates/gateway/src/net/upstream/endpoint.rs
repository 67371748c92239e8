//! An endpoint of the list: its idle connections, and the calls queued for one.
//!
//! An idle connection that has carried a response first settles: bytes that belong to that response, such as a
//! duplicate, may still arrive and would be read as part of the next one. A call waits for a settling connection unless
//! another call waits already: then the endpoint has too few connections for its calls, and another one is opened. Each
//! queued call has a connection to wait for: one that is being opened, or one that settles and is marked as awaited.

use super::call::UpstreamCall;
use super::connection::UpstreamConnection;
use super::pool::QueuedCall;
use crate::net::is_unusable;
use latchhaven_policy::{EndpointEntry, EndpointStatus};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

pub(super) struct UpstreamEndpoint {
    pub(super) address: SocketAddr,
    /// Changes with the address, version or start time of the endpoint with this id, and when the endpoint starts to
    /// drain. Logged as `pool_generation`; not the incarnation, which the policy counts.
    pub(super) generation: u64,
    entry: EndpointEntry,
    /// Connections without a call, in the order in which they became idle.
    idle: Vec<Rc<UpstreamConnection>>,
    /// Connections of this generation that are being opened.
    connecting: usize,
    /// Calls that wait for a connection, the oldest first.
    queue: VecDeque<QueuedCall>,
}

impl UpstreamEndpoint {
    pub(super) fn new(entry: &EndpointEntry, address: SocketAddr, generation: u64) -> Self {
        UpstreamEndpoint {
            address,
            generation,
            entry: entry.clone(),
            idle: Vec::new(),
            connecting: 0,
            queue: VecDeque::new(),
        }
    }

    /// Applies a new entry. Returns `true` if it describes the same generation, so that queued calls can still be sent.
    pub(super) fn update(&mut self, entry: &EndpointEntry, address: SocketAddr) -> bool {
        let is_same_process = self.address == address
            && self.entry.version == entry.version
            && self.entry.started_at == entry.started_at;
        let is_continued =
            is_same_process && (self.entry.status == entry.status || entry.status == EndpointStatus::Ready);
        self.entry = entry.clone();
        self.address = address;
        is_continued
    }

    /// Closes idle connections and returns the queued calls. Connections that are being opened belong to the previous
    /// generation and are closed when they are ready.
    pub(super) fn begin_generation(&mut self, generation: u64) -> Vec<UpstreamCall> {
        self.generation = generation;
        self.connecting = 0;
        self.close_idle();
        self.take_queue()
    }

    pub(super) fn close_idle(&mut self) {
        for connection in self.idle.drain(..) {
            connection.close();
        }
    }

    pub(super) fn take_queue(&mut self) -> Vec<UpstreamCall> {
        self.queue.drain(..).map(|queued| queued.call).collect()
    }

    /// Removes a call from the queue. Returns `false` if the call is not queued.
    pub(super) fn remove_queued(&mut self, call: UpstreamCall) -> bool {
        let position = self.queue.iter().position(|queued| queued.call == call);
        position.is_some_and(|position| self.queue.remove(position).is_some())
    }

    /// Queues a call for a connection that the caller opens.
    pub(super) fn queue_for_new_connection(&mut self, queued: QueuedCall) {
        self.queue.push_back(queued);
        self.connecting += 1;
    }

    /// Records that a connection is no longer being opened, because it is ready or has failed.
    pub(super) fn end_connecting(&mut self) {
        self.connecting -= 1;
    }

    /// Queues a call if an idle connection settles and no other call waits; otherwise returns the call.
    ///
    /// Returns the connection if it was not awaited before: the caller reports when that connection is settled.
    pub(super) fn queue_for_settling(
        &mut self, queued: QueuedCall,
    ) -> Result<Option<Rc<UpstreamConnection>>, QueuedCall> {
        if self.queue.len() < self.awaited() {
            self.queue.push_back(queued);
            return Ok(None);
        }
        if !self.queue.is_empty() {
            return Err(queued);
        }
        let Some(connection) = self.idle.iter().find(|idle| !idle.is_closed.get()).cloned() else {
            return Err(queued);
        };
        connection.is_awaited.set(true);
        self.queue.push_back(queued);
        Ok(Some(connection))
    }

    /// Takes the connection that became idle last among those that are settled, usable and not awaited. Closes unusable
    /// ones that became idle later.
    pub(super) fn take_settled(&mut self, max_idle: Duration) -> Option<Rc<UpstreamConnection>> {
        let now = Instant::now();
        for index in (0..self.idle.len()).rev() {
            let connection = &self.idle[index];
            if connection.is_awaited.get() || now < connection.settled_at.get() {
                continue;
            }
            let connection = self.idle.remove(index);
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

    /// Makes a connection idle, unless it is idle already; after a response, it settles for `settle_time`. Returns the
    /// call that the connection is to carry now, if it is settled and a call is queued.
    pub(super) fn add_idle(
        &mut self, connection: &Rc<UpstreamConnection>, settle_time: Duration,
    ) -> Option<QueuedCall> {
        if !connection.is_awaited.take() {
            let now = Instant::now();
            let settles_for = if connection.has_responded.get() { settle_time } else { Duration::ZERO };
            connection.idle_since.set(now);
            connection.settled_at.set(now + settles_for);
            self.idle.push(connection.clone());
        }
        if Instant::now() < connection.settled_at.get() {
            connection.is_awaited.set(!self.queue.is_empty());
            return None;
        }
        let queued = self.queue.pop_front()?;
        self.remove_idle(connection);
        Some(queued)
    }

    pub(super) fn take_oldest_queued(&mut self) -> Option<QueuedCall> {
        self.queue.pop_front()
    }

    /// Makes a settled connection idle again that was to carry a queued call and has not carried one.
    pub(super) fn return_idle(&mut self, connection: Rc<UpstreamConnection>) {
        self.idle.push(connection);
    }

    pub(super) fn remove_idle(&mut self, connection: &Rc<UpstreamConnection>) {
        self.idle.retain(|idle| !Rc::ptr_eq(idle, connection));
    }

    /// When the connection became idle that has been idle for the longest time; `None` if there is none on which no
    /// call waits.
    pub(super) fn longest_idle_since(&self) -> Option<Instant> {
        self.idle.iter().find(|idle| !idle.is_awaited.get()).map(|idle| idle.idle_since.get())
    }

    /// Closes the connection that has been idle for the longest time among those on which no call waits.
    pub(super) fn close_longest_idle(&mut self) {
        if let Some(position) = self.idle.iter().position(|idle| !idle.is_awaited.get()) {
            self.idle.remove(position).close();
        }
    }

    /// Removes the oldest queued call if more calls are queued than connections can be waited for.
    pub(super) fn take_call_without_connection(&mut self) -> Option<QueuedCall> {
        if self.queue.len() <= self.connecting + self.awaited() {
            return None;
        }
        self.queue.pop_front()
    }

    /// The number of settling connections on which calls wait.
    fn awaited(&self) -> usize {
        self.idle.iter().filter(|idle| idle.is_awaited.get()).count()
    }
}
