//! The control plane without sockets, disk or clock: the driver passes events in, and [`ControlPlane::poll`] returns
//! the effects for the driver to apply. All times are on the driver's clock, in Unix milliseconds: labels of
//! published versions carry such times to other control planes.
//!
//! - `updates`: handles events of discovery, the platform and proxies.
//! - `publication`: builds and publishes proxy configurations.
//! - `address_directory`: addresses of endpoints.
//! - `proxy_registry`: proxies and their streams.
//! - `schedule`: when the next publication, timer or request for the endpoint list is due.

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

/// Token of all timer events. The policy ignores it, so that one timer serves all that the policy sets.
const TIMER_TOKEN: &str = "look";

/// The settings of a control plane, fixed while it runs.
pub struct ControlPlaneConfig {
    /// The request classes, limits and rules from which proxy configurations are built.
    pub proxy_config: ProxyConfigSettings,
    /// The listener that each proxy is configured with.
    pub listener: ListenerConfig,
    /// Signs the version labels of published resources, and verifies those that proxies report.
    pub signer: VersionSigner,
    /// Limit of the streams that are open or pending admission. Above it new streams are rejected.
    pub max_streams: usize,
    /// Set when the canary analysis uses only the platform's counts. Otherwise it uses the load reports of proxies,
    /// and the platform's counts while no proxy reports.
    pub platform_counts_only: bool,
}

/// Decides with the policy, and publishes configurations for proxies.
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
    /// Events that the policy has not processed yet.
    pending_events: Vec<Event>,
    /// The last published resources.
    snapshot: Option<Arc<ResourceSnapshot>>,
    /// The reason, already logged, why nothing can be published; `None` if the last build was not blocked.
    blocked_by: Option<PublicationBlocked>,
}

/// A configuration for the driver to publish.
pub struct Publication {
    /// The resources to send to proxies.
    pub snapshot: Arc<ResourceSnapshot>,
    /// The state to persist, from which a restarted service continues.
    pub state: PersistedState,
}

/// The results of a poll, which the driver applies in this order: streams, actions, publication.
#[derive(Default)]
pub struct Effects {
    /// Actions of the policy without its timers, and requests for a snapshot of the endpoint list.
    pub actions: Vec<Action>,
    /// Set when a new configuration is to be published.
    pub publication: Option<Publication>,
    /// Numbers of the discovery streams that were admitted, in the order of admission.
    pub admitted_streams: Vec<u64>,
}

impl ControlPlane {
    /// Creates a control plane. With a persisted state nothing older than its version is published.
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

    /// Returns the latest time at which the driver has to call [`ControlPlane::poll`] again, unless events arrive
    /// before.
    #[must_use]
    pub fn next_poll_at(&self, now: Millis) -> Millis {
        let pending = PendingWork {
            due_at: self.schedule.next_at(),
            has_pending_streams: self.admission.has_pending(),
            has_pending_events: !self.pending_events.is_empty(),
        };
        limits::next_poll_at(now, pending)
    }

    /// Admits pending streams. Runs the policy and publishes a configuration if these are due.
    pub fn poll(&mut self, now: Millis) -> Effects {
        let mut effects =
            Effects { admitted_streams: self.admission.admit_pending(now), ..Effects::default() };
        for stream in &effects.admitted_streams {
            if let Some(proxy) = self.proxies.open_discovery_stream(*stream) {
                self.published_shares.on_connected(proxy);
            }
        }
        if !self.schedule.is_due(now) {
            return effects;
        }
        effects.actions = self.run_policy(now);
        if self.version_tracker.needs_list_snapshot() && self.schedule.start_snapshot_request(now) {
            effects.actions.push(Action::FetchEndpoints);
        }
        if self.schedule.start_publication(now) {
            effects.publication = self.publish(now);
        }
        effects
    }

    /// Passes all pending events to the policy. Returns its actions except timers, which replace those of the
    /// schedule.
    fn run_policy(&mut self, now: Millis) -> Vec<Action> {
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
