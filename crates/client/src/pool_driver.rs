//! The task that owns the pool and executes its actions.

use crate::config::ClientConfig;
use crate::connection::GatewayConnection;
use crate::pool::{Pool, PoolAction};
use crate::pool_messages::{AcquireRequest, ConnectionEvent};
use crate::rules::{bounded_wait, poll_interval};
use crate::time::{Millis, millis};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::select;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

/// Owns the pool, the idle connections, and a channel to each call that is queued for a connection.
pub(crate) struct PoolDriver {
    pool: Pool,
    started_at: Instant,
    gateways: Vec<SocketAddr>,
    connect_timeout: Duration,
    idle: BTreeMap<u64, Box<GatewayConnection>>,
    queued: BTreeMap<u64, oneshot::Sender<Box<GatewayConnection>>>,
    events: mpsc::UnboundedSender<ConnectionEvent>,
}

impl PoolDriver {
    /// `events` is the sender to the receiver that is passed to [`PoolDriver::run`].
    pub(crate) fn new(config: &ClientConfig, events: mpsc::UnboundedSender<ConnectionEvent>) -> Self {
        PoolDriver {
            pool: Pool::new(config.gateways.len(), config.pool_limits(), config.seed),
            started_at: Instant::now(),
            gateways: config.gateways.clone(),
            connect_timeout: bounded_wait(config.connect_timeout),
            idle: BTreeMap::new(),
            queued: BTreeMap::new(),
            events,
        }
    }

    fn now(&self) -> Millis {
        millis(self.started_at.elapsed())
    }

    /// Runs until the last clone of the client is dropped. Connections in use are closed when their calls are dropped.
    pub(crate) async fn run(
        mut self, mut requests: mpsc::Receiver<AcquireRequest>,
        mut events: mpsc::UnboundedReceiver<ConnectionEvent>,
    ) {
        loop {
            let poll_delay = poll_interval(self.pool.next_poll_at() - self.now());
            let actions = select! {
                biased;
                event = events.recv() => match event {
                    Some(event) => self.on_event(event),
                    None => return,
                },
                request = requests.recv() => match request {
                    Some(request) => self.on_acquire(request),
                    None => return,
                },
                () = sleep(poll_delay) => {
                    self.remove_unusable_idle();
                    self.pool.poll(self.now())
                }
            };
            self.execute(actions);
        }
    }

    fn on_acquire(&mut self, request: AcquireRequest) -> Vec<PoolAction> {
        let AcquireRequest { call, priority_weight, reply } = request;
        self.remove_unusable_idle();
        self.queued.insert(call, reply);
        self.pool.acquire(call, priority_weight, self.now())
    }

    /// Removes idle connections that gateways have closed, or on which unsolicited bytes have arrived. The gateways do
    /// not count as lost.
    fn remove_unusable_idle(&mut self) {
        let unusable = self.idle.values().filter(|connection| connection.is_unusable());
        let unusable: Vec<u64> = unusable.map(|connection| connection.id).collect();
        for connection in unusable {
            self.idle.remove(&connection);
            let actions = self.pool.on_connection_lost(connection, None, self.now());
            self.execute(actions);
        }
    }

    fn on_event(&mut self, event: ConnectionEvent) -> Vec<PoolAction> {
        let now = self.now();
        match event {
            ConnectionEvent::Connected(connection) => {
                let id = connection.id;
                self.idle.insert(id, connection);
                self.pool.on_connected(id, now)
            }
            ConnectionEvent::ConnectFailed(connection) => self.pool.on_connect_failed(connection, now),
            ConnectionEvent::Released(connection) => self.on_released(connection, now),
            ConnectionEvent::Lost(connection) => self.pool.on_connection_lost(connection, None, now),
            ConnectionEvent::TimedOut(connection) => self.pool.on_timeout(connection, now),
            ConnectionEvent::Discarded(connection) => self.pool.discard(connection, now),
            ConnectionEvent::AcquireCancelled(call) => {
                self.queued.remove(&call);
                self.pool.cancel_acquire(call);
                Vec::new()
            }
        }
    }

    fn on_released(&mut self, connection: Box<GatewayConnection>, now: Millis) -> Vec<PoolAction> {
        let id = connection.id;
        if connection.is_unusable() || connection.has_unread_bytes() {
            return self.pool.discard(id, now);
        }
        self.idle.insert(id, connection);
        self.pool.release(id, now)
    }

    fn execute(&mut self, actions: Vec<PoolAction>) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                PoolAction::Connect { connection, gateway } => self.connect(connection, gateway),
                PoolAction::Assign { call, connection } => actions.extend(self.assign(call, connection)),
                PoolAction::Close { connection } => drop(self.idle.remove(&connection)),
                PoolAction::Reject { call } => drop(self.queued.remove(&call)),
            }
        }
    }

    fn connect(&self, connection: u64, gateway: usize) {
        let address = self.gateways[gateway];
        let connect_timeout = self.connect_timeout;
        let events = self.events.clone();
        tokio::spawn(async move {
            let connected = timeout(connect_timeout, GatewayConnection::connect(connection, address)).await;
            let event = match connected {
                Ok(Some(connection)) => ConnectionEvent::Connected(Box::new(connection)),
                _ => ConnectionEvent::ConnectFailed(connection),
            };
            let _ = events.send(event);
        });
    }

    /// Assigns a connection to a call. If the call was cancelled meanwhile, returns the connection to the pool.
    fn assign(&mut self, call: u64, connection: u64) -> Vec<PoolAction> {
        let reply = self.queued.remove(&call);
        let Some(idle) = self.idle.remove(&connection) else { return Vec::new() };
        let result = match reply {
            Some(reply) => reply.send(idle),
            None => Err(idle),
        };
        let Err(unassigned) = result else { return Vec::new() };
        let now = self.now();
        self.idle.insert(connection, unassigned);
        self.pool.release(connection, now)
    }
}
