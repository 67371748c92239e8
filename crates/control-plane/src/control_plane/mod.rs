//! The control plane without sockets, disk or clock: the driver passes events in, and [`ControlPlane::poll`] returns the
//! effects that the driver carries out.
//!
//! - `updates`: handles events of discovery, the platform and proxies.
//! - `publication`: builds and publishes proxy configurations.
//! - `address_directory`: addresses of endpoints.
//! - `proxy_registry`: proxies and their streams.
//! - `schedule`: when the next publication, timer or list request is due.

mod address_directory;
mod proxy_registry;
mod publication;
mod schedule;
mod updates;

use crate::limits::{self, PendingWork};
use crate::state_store::PersistedState;
use address_directory::AddressDirectory;
use latchhaven_policy::{Action, Event, Millis, Policy};
use latchhaven_proxy_config::freshness::{PublicationBlocked, VersionTracker};
use latchhaven_proxy_config::load_reports::LoadReportAggregator;
use latchhaven_proxy_config::proxy_config::ProxyConfigSettings;
use latchhaven_proxy_config::published_shares::PublishedShares;
use latchhaven_proxy_config::version::VersionSigner;
use latchhaven_xds::admission::Admission;
use latchhaven_xds::resources::{ListenerConfig, ResourceConfig, ResourceSnapshot};
use proxy_registry::ProxyRegistry;
use schedule::Schedule;
use std::collections::BTreeSet;
use std::sync::Arc;

/// The token of all timer events: the control plane has one timer for the policy, which ignores the token.
const TIMER_TOKEN: &str = "look";

/// The settings of a control plane.
pub struct ControlPlaneConfig {
    /// The settings of proxy configurations.
    pub proxy_config: ProxyConfigSettings,
    /// The listener of each proxy.
    pub listener: ListenerConfig,
    /// Signs versions, and verifies those that proxies report.
    pub signer: VersionSigner,
    /// The maximum number of streams, open or pending.
    pub max_streams: usize,
    /// Versions are judged by the platform's counts only, not by proxies' load reports.
    pub platform_counts_only: bool,
}

/// The control plane's state.
pub struct ControlPlane {
    policy: Policy,
    settings: ProxyConfigSettings,
    resource_config: Arc<ResourceConfig>,
    signer: VersionSigner,
    version_tracker: VersionTracker,
    addresses: AddressDirectory,
    admission: Admission,
    proxies: ProxyRegistry,
    load_reports: LoadReportAggregator,
    published_shares: PublishedShares,
    schedule: Schedule,
    /// Events that the decisions have not processed yet.
    pending_events: Vec<Event>,
    snapshot: Option<Arc<ResourceSnapshot>>,
    /// The last logged reason why nothing can be published.
    blocked_by: Option<PublicationBlocked>,
}

/// A configuration to be published.
pub struct Publication {
    /// The resources for proxies.
    pub snapshot: Arc<ResourceSnapshot>,
    /// The state to persist with it.
    pub state: PersistedState,
}

/// What the driver has to carry out.
#[derive(Default)]
pub struct Effects {
    /// Actions of the decisions: votes, requests for the endpoint list, log events.
    pub actions: Vec<Action>,
    /// A new configuration.
    pub published: Option<Publication>,
    /// Admitted streams.
    pub admitted_streams: Vec<u64>,
}

impl ControlPlane {
    /// A control plane that continues from a persisted state: nothing older is published.
    #[must_use]
    pub fn new(policy: Policy, config: ControlPlaneConfig, persisted: Option<PersistedState>) -> Self {
        let settings = config.proxy_config;
        let class_names = settings.classes.iter().map(|class| class.name.clone()).collect();
        let version_tracker = match persisted {
            Some(state) => VersionTracker::restore(Some(state.version), state.rolled_back_versions),
            None => VersionTracker::restore(None, BTreeSet::new()),
        };
        ControlPlane {
            policy,
            resource_config: Arc::new(ResourceConfig {
                classes: settings.classes.clone(),
                listener: config.listener,
            }),
            settings,
            signer: config.signer,
            version_tracker,
            addresses: AddressDirectory::default(),
            admission: Admission::new(config.max_streams),
            proxies: ProxyRegistry::default(),
            load_reports: LoadReportAggregator::new(class_names, config.platform_counts_only),
            published_shares: PublishedShares::new(limits::max_share_entries(config.max_streams)),
            schedule: Schedule::new(),
            pending_events: Vec::new(),
            snapshot: None,
            blocked_by: None,
        }
    }

    /// When the driver calls [`ControlPlane::poll`] next at the latest, in ms.
    #[must_use]
    pub fn next_poll_at(&self, now: Millis) -> Millis {
        let pending = PendingWork {
            due_at: self.schedule.next_at(),
            has_pending_streams: self.admission.has_pending(),
            has_pending_events: !self.pending_events.is_empty(),
        };
        limits::next_poll_at(now, pending)
    }

    /// Admits streams; runs the decisions and publishes a configuration where these are due.
    pub fn poll(&mut self, now: Millis) -> Effects {
        let mut effects = Effects { admitted_streams: self.admission.poll(now), ..Effects::default() };
        for stream in &effects.admitted_streams {
            if let Some(proxy) = self.proxies.open_discovery_stream(*stream) {
                self.published_shares.on_connected(proxy);
            }
        }
        if !self.schedule.is_due(now) {
            return effects;
        }
        effects.actions = self.decide(now);
        if self.version_tracker.needs_list_snapshot() && self.schedule.start_snapshot_request(now) {
            effects.actions.push(Action::FetchEndpoints);
        }
        if self.schedule.start_publish(now) {
            effects.published = self.publish(now);
        }
        effects
    }

    /// Passes all pending events to the decisions. Returns their actions without timers.
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
