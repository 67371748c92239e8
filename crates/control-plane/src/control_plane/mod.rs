//! The control plane without sockets, disk or clock: updates go in, and [`ControlPlane::poll`] returns what follows.
//!
//! - `updates`: the updates that are taken in.
//! - `publication`: builds and publishes proxy configurations.
//! - `host_directory`, `proxy_registry`, `schedule`: the state that belongs together.

mod host_directory;
mod proxy_registry;
mod publication;
mod schedule;
mod updates;

use crate::state_store::PersistedState;
use host_directory::HostDirectory;
use latchhaven_policy::{Action, Event, Millis, Policy};
use latchhaven_proxy_config::freshness::{KnownState, SnapshotUnavailable};
use latchhaven_proxy_config::load_reports::LoadReportAggregator;
use latchhaven_proxy_config::proxy_config::ProxyConfigSettings;
use latchhaven_proxy_config::share_ledger::ShareLedger;
use latchhaven_proxy_config::version::VersionSigner;
use latchhaven_xds::admission::Admission;
use latchhaven_xds::resources::{ListenerConfig, ResourceConfig, ResourceSnapshot};
use proxy_registry::ProxyRegistry;
use schedule::{COALESCING_INTERVAL, Schedule};
use std::collections::BTreeSet;
use std::sync::Arc;

/// ms after which waiting streams are looked at again.
const ADMISSION_INTERVAL: Millis = 1.0;
/// Proxies whose shares are remembered for each stream that may be open: those that are away still hold shares.
const MAX_REMEMBERED_PROXIES_PER_STREAM: usize = 2;
/// The token of the timers that the decisions are told of; there is one for all.
const TIMER_TOKEN: &str = "look";

/// What a control plane is set up with.
pub struct ControlPlaneConfig {
    /// What proxy configurations are built from.
    pub proxy_config: ProxyConfigSettings,
    /// The listener of each proxy.
    pub listener: ListenerConfig,
    /// Signs and checks the versions that proxies hold.
    pub signer: VersionSigner,
    /// Streams that may be open or waiting at once.
    pub max_streams: usize,
    /// Only the platform's counts judge versions, not proxies' load reports.
    pub platform_counts_only: bool,
}

/// The control plane's state.
pub struct ControlPlane {
    policy: Policy,
    settings: ProxyConfigSettings,
    resource_config: Arc<ResourceConfig>,
    signer: VersionSigner,
    known_state: KnownState,
    hosts: HostDirectory,
    admission: Admission,
    proxies: ProxyRegistry,
    load_reports: LoadReportAggregator,
    shares: ShareLedger,
    schedule: Schedule,
    /// Events that the decisions have not been told of yet.
    pending_events: Vec<Event>,
    snapshot: Option<Arc<ResourceSnapshot>>,
    /// Why nothing can be published, as it was last logged.
    blocked_by: Option<SnapshotUnavailable>,
}

/// A configuration to be published.
pub struct Publication {
    /// The resources for proxies.
    pub snapshot: Arc<ResourceSnapshot>,
    /// What is to be persisted.
    pub state: PersistedState,
}

/// What the owner has to do.
#[derive(Default)]
pub struct Effects {
    /// Actions of the decisions: votes, calls for the list, log lines.
    pub actions: Vec<Action>,
    /// A new configuration.
    pub published: Option<Publication>,
    /// Streams that are admitted now.
    pub admitted_streams: Vec<u64>,
}

impl ControlPlane {
    /// A control plane that goes on from a persisted state: nothing older is published.
    pub fn new(policy: Policy, config: ControlPlaneConfig, persisted: Option<PersistedState>) -> Self {
        let settings = config.proxy_config;
        let class_names = settings.classes.iter().map(|class| class.name.clone()).collect();
        let known_state = match persisted {
            Some(state) => KnownState::restore(Some(state.version), state.rolled_back_versions),
            None => KnownState::restore(None, BTreeSet::new()),
        };
        ControlPlane {
            policy,
            resource_config: Arc::new(ResourceConfig {
                classes: settings.classes.clone(),
                listener: config.listener,
            }),
            settings,
            signer: config.signer,
            known_state,
            hosts: HostDirectory::default(),
            admission: Admission::new(config.max_streams),
            proxies: ProxyRegistry::default(),
            load_reports: LoadReportAggregator::new(class_names, config.platform_counts_only),
            shares: ShareLedger::new(MAX_REMEMBERED_PROXIES_PER_STREAM * config.max_streams),
            schedule: Schedule::new(),
            pending_events: Vec::new(),
            snapshot: None,
            blocked_by: None,
        }
    }

    /// When [`ControlPlane::poll`] is to be called next, at the latest.
    pub fn next_poll_at(&self, now: Millis) -> Millis {
        let mut next = self.schedule.next_at();
        if self.admission.has_pending() {
            next = next.min(now + ADMISSION_INTERVAL);
        }
        if !self.pending_events.is_empty() {
            next = next.min(now + COALESCING_INTERVAL);
        }
        next
    }

    /// Admits streams, and decides and publishes if that is due.
    pub fn poll(&mut self, now: Millis) -> Effects {
        let mut effects = Effects { admitted_streams: self.admission.poll(now), ..Effects::default() };
        for stream in &effects.admitted_streams {
            if let Some(proxy) = self.proxies.open_discovery_stream(*stream) {
                self.shares.connected(proxy);
            }
        }
        if !self.schedule.is_due(now) {
            return effects;
        }
        effects.actions = self.decide(now);
        if self.known_state.needs_full_list() && self.schedule.start_snapshot_request(now) {
            effects.actions.push(Action::FetchEndpoints);
        }
        if self.schedule.start_publish(now) {
            effects.published = self.publish(now);
        }
        effects
    }

    /// Tells the decisions all that was taken in. Their actions without timers.
    fn decide(&mut self, now: Millis) -> Vec<Action> {
        let mut events = std::mem::take(&mut self.pending_events);
        events.extend(self.load_reports.drain_events(now));
        if self.schedule.is_timer_due(now) {
            events.push(Event::TimerFired { token: TIMER_TOKEN.to_string() });
        }
        let mut timers = Vec::new();
        let mut actions = Vec::new();
        for action in self.policy.handle_events(now, events) {
            match action {
                Action::SetTimer { after, .. } => timers.push(after),
                action => actions.push(action),
            }
        }
        self.schedule.set_timers(timers, now);
        actions
    }
}
