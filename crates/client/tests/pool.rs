//! The connection pool: which connections are opened and closed, and which call gets one.

use latchhaven_client::pool::{Pool, PoolAction, PoolLimits};
use latchhaven_client::time::Millis;
use proptest::prelude::*;
use std::collections::BTreeSet;

const LIMITS: PoolLimits = PoolLimits {
    max_connections: 4,
    max_connecting: 2,
    max_queued_calls: 8,
    idle_timeout: 1_500.0,
    max_age: 60_000.0,
};

/// The gateways of the model.
const GATEWAY_COUNT: usize = 3;

/// The fields of [`PoolAction::Connect`].
#[derive(Clone, Copy, Debug)]
struct Connect {
    connection: u64,
    gateway: usize,
}

fn connects(actions: &[PoolAction]) -> Vec<Connect> {
    let connect = |action: &PoolAction| match *action {
        PoolAction::Connect { connection, gateway } => Some(Connect { connection, gateway }),
        _ => None,
    };
    actions.iter().filter_map(connect).collect()
}

/// Lets a new pool open its first connection, which is established at 1 and assigned to `call`.
fn first_connection(pool: &mut Pool, call: u64) -> Connect {
    let first = connects(&pool.acquire(call, 1.0, 0.0))[0];
    pool.on_connected(first.connection, 1.0);
    first
}

/// Ten thousand processes lose a gateway simultaneously. Without random delays and ranks, all of them reconnect at the
/// same time to the same gateway and overload it.
#[test]
fn processes_reconnect_over_seconds_and_share_the_remaining_gateways() {
    let mut reconnects_by_tenth_of_second = [0u32; 120];
    let mut reconnects_by_gateway = [0u32; 5];
    for seed in 0..10_000 {
        let mut pool = Pool::new(5, LIMITS, seed);
        let lost = connects(&pool.acquire(1, 1.0, 0.0))[0];
        let connection = lost.connection;
        let assigned = PoolAction::Assign { call: 1, connection };
        assert!(pool.on_connected(connection, 5.0).contains(&assigned));
        pool.on_connection_lost(connection, None, 10.0);
        let mut actions = pool.acquire(2, 1.0, 10.0);
        let mut now = 10.0;
        while connects(&actions).is_empty() {
            now = pool.next_poll_at().max(now);
            actions = pool.poll(now);
            assert!(now < 12_000.0, "{pool:?}");
        }
        let gateway = connects(&actions)[0].gateway;
        reconnects_by_tenth_of_second[((now - 10.0) / 100.0) as usize] += 1;
        reconnects_by_gateway[gateway] += 1;
        assert!(gateway != lost.gateway || now - 10.0 > 0.0);
    }
    let peak = reconnects_by_tenth_of_second.iter().max().unwrap();
    assert!(*peak < 400, "{peak} of 10,000 reconnect in a tenth of a second");
    assert!(
        reconnects_by_gateway.iter().all(|count| (1_500..2_500).contains(count)),
        "{reconnects_by_gateway:?}"
    );
}

#[test]
fn closed_idle_connection_is_no_failure_of_the_gateway() {
    let mut pool = Pool::new(1, LIMITS, 1);
    let Connect { connection, .. } = first_connection(&mut pool, 1);
    pool.release(connection, 2.0);
    pool.on_connection_lost(connection, None, 3.0);
    assert_eq!(connects(&pool.acquire(2, 1.0, 4.0)).len(), 1, "without a delay");
}

#[test]
fn gateway_that_failed_gets_one_connection_until_it_has_responded() {
    let mut pool = Pool::new(1, LIMITS, 1);
    let lost = first_connection(&mut pool, 0);
    pool.on_connection_lost(lost.connection, None, 2.0);
    let actions: Vec<PoolAction> = (1..6).flat_map(|call| pool.acquire(call, 1.0, 3.0)).collect();
    assert!(connects(&actions).is_empty());
    let retry_at = pool.next_poll_at();
    let retries = connects(&pool.poll(retry_at));
    assert_eq!(retries.len(), 1);
    let connection = retries[0].connection;
    assert!(connects(&pool.on_connected(connection, retry_at + 1.0)).is_empty(), "no response yet");
    let opened = connects(&pool.release(connection, retry_at + 2.0));
    assert_eq!(opened.len(), 2, "as many as may be opened concurrently");
}

#[test]
fn gateway_without_responses_is_lost_after_two_timeouts() {
    let mut pool = Pool::new(2, LIMITS, 1);
    let mut actions = pool.acquire(0, 1.0, 0.0);
    let first_gateway = connects(&actions)[0].gateway;
    for call in 1..3 {
        let Connect { connection, gateway } = connects(&actions)[0];
        assert_eq!(gateway, first_gateway);
        pool.on_connected(connection, 1.0);
        actions = pool.on_timeout(connection, 2.0);
        actions.extend(pool.acquire(call, 1.0, 2.0));
    }
    assert!(connects(&actions).is_empty());
    let actions = pool.poll(pool.next_poll_at());
    assert!(!connects(&actions).is_empty());
}

#[test]
fn higher_priority_goes_first_and_lower_is_not_starved() {
    let mut pool = Pool::new(1, PoolLimits { max_connections: 1, max_queued_calls: 100, ..LIMITS }, 1);
    let Connect { connection, .. } = first_connection(&mut pool, 0);
    for call in 1..=40 {
        let priority_weight = if call > 20 { 3.0 } else { 1.0 };
        pool.acquire(call, priority_weight, 2.0);
    }
    let mut order = Vec::new();
    for number in 0..40 {
        let actions = pool.release(connection, 3.0 + f64::from(number));
        order.extend(actions.into_iter().filter_map(|action| match action {
            PoolAction::Assign { call, .. } => Some(call),
            _ => None,
        }));
    }
    let high_priority = order.iter().take(20).filter(|call| **call > 20).count();
    assert!((14..=16).contains(&high_priority) && order.len() == 40, "{order:?}");
}

#[test]
fn lowest_priority_is_rejected_when_the_queue_is_full() {
    let mut pool = Pool::new(1, PoolLimits { max_queued_calls: 2, ..LIMITS }, 1);
    pool.acquire(1, 1.0, 0.0);
    pool.acquire(2, 3.0, 0.0);
    assert!(pool.acquire(3, 3.0, 0.0).contains(&PoolAction::Reject { call: 1 }));
}

/// A step of the model. The number selects one of the connections to which the step applies, or a priority.
#[derive(Clone, Copy, Debug)]
enum Step {
    Acquire(usize),
    Connected(usize),
    ConnectFailed(usize),
    Release(usize),
    ConnectionLost(usize),
    PollAfter(Millis),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => any::<usize>().prop_map(Step::Acquire),
        1 => any::<usize>().prop_map(Step::Connected),
        1 => any::<usize>().prop_map(Step::ConnectFailed),
        1 => any::<usize>().prop_map(Step::Release),
        1 => any::<usize>().prop_map(Step::ConnectionLost),
        1 => (0.0f64..3_000.0).prop_map(Step::PollAfter),
    ]
}

/// A pool, and an independent model of its connections and calls.
struct Model {
    pool: Pool,
    now: Millis,
    connecting: Vec<u64>,
    busy: Vec<u64>,
    idle: BTreeSet<u64>,
    last_call: u64,
    assigned_or_rejected: BTreeSet<u64>,
}

fn remove_any(connections: &mut Vec<u64>, selector: usize) -> Option<u64> {
    if connections.is_empty() { None } else { Some(connections.swap_remove(selector % connections.len())) }
}

impl Model {
    fn new(seed: u64) -> Self {
        Model {
            pool: Pool::new(GATEWAY_COUNT, LIMITS, seed),
            now: 0.0,
            connecting: Vec::new(),
            busy: Vec::new(),
            idle: BTreeSet::new(),
            last_call: 0,
            assigned_or_rejected: BTreeSet::new(),
        }
    }

    /// Applies a step and returns the actions of the pool; `None` if the step applies to no connection.
    fn apply(&mut self, step: Step) -> Option<Vec<PoolAction>> {
        let now = self.now;
        Some(match step {
            Step::Acquire(selector) => {
                self.last_call += 1;
                self.pool.acquire(self.last_call, (selector % 3) as f64, now)
            }
            Step::Connected(selector) => {
                let connection = remove_any(&mut self.connecting, selector)?;
                self.idle.insert(connection);
                self.pool.on_connected(connection, now)
            }
            Step::ConnectFailed(selector) => {
                self.pool.on_connect_failed(remove_any(&mut self.connecting, selector)?, now)
            }
            Step::Release(selector) => {
                let connection = remove_any(&mut self.busy, selector)?;
                self.idle.insert(connection);
                self.pool.release(connection, now)
            }
            Step::ConnectionLost(selector) => {
                self.pool.on_connection_lost(remove_any(&mut self.busy, selector)?, None, now)
            }
            Step::PollAfter(time) => {
                self.now += time;
                self.pool.poll(self.now)
            }
        })
    }

    fn execute(&mut self, action: PoolAction) -> Result<(), TestCaseError> {
        match action {
            PoolAction::Connect { connection, gateway } => {
                prop_assert!(gateway < GATEWAY_COUNT);
                self.connecting.push(connection);
            }
            PoolAction::Assign { call, connection } => {
                prop_assert!(self.idle.remove(&connection) && self.assigned_or_rejected.insert(call));
                self.busy.push(connection);
            }
            PoolAction::Close { connection } => prop_assert!(self.idle.remove(&connection)),
            PoolAction::Reject { call } => prop_assert!(self.assigned_or_rejected.insert(call)),
        }
        Ok(())
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let Model { pool, connecting, busy, idle, .. } = self;
        prop_assert!(pool.next_poll_at() > self.now, "the pool would be polled in a busy loop");
        prop_assert!(pool.connection_count() <= LIMITS.max_connections);
        prop_assert!(
            connecting.len() <= LIMITS.max_connecting && pool.queued_calls() <= LIMITS.max_queued_calls
        );
        prop_assert_eq!(pool.connection_count(), connecting.len() + busy.len() + idle.len());
        prop_assert_eq!(self.last_call as usize, self.assigned_or_rejected.len() + pool.queued_calls());
        Ok(())
    }
}

proptest! {
    #![proptest_config(latchhaven_proptest_config::deterministic())]

    /// For any order of events: the limits are never exceeded, each call gets one connection or is rejected once, and
    /// no connection is assigned to two calls.
    #[test]
    fn limits_are_respected_and_no_connection_serves_two_calls(
        steps in prop::collection::vec(any_step(), 0..200), seed: u64
    ) {
        let mut model = Model::new(seed);
        for step in steps {
            for action in model.apply(step).unwrap_or_default() {
                model.execute(action)?;
            }
            model.check()?;
        }
    }
}
