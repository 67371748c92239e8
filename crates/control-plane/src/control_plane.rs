//! The control service without its sockets: what is taken in, what the decisions make of it, and what follows.

use crate::state_store::PersistedState;
use latchhaven_policy::Policy;
use latchhaven_policy::Version;
use latchhaven_policy::{
    Action, EndpointEntry, EndpointStatus, Event, Millis, RolloutState, UpdateKind, VoteOutcome,
};
use latchhaven_proxy_config::freshness::{KnownState, UpdateResult};
use latchhaven_proxy_config::load_reports::{LoadReportAggregator, ProxyReport};
use latchhaven_proxy_config::proxy_config::{self, ProxyConfigSettings};
use latchhaven_proxy_config::share_ledger::{CanaryShares, ShareLedger};
use latchhaven_proxy_config::version::{ConfigVersion, RolloutStatus, SignedVersion, VersionSigner};
use latchhaven_xds::admission::{Admission, AdmissionResult};
use latchhaven_xds::resources::{ListenerConfig, ResourceConfig, ResourceSnapshot, ResourceType};
use latchhaven_xds::stream::StreamEvent;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// ms in which a burst of news becomes one handout.
const COALESCE: Millis = 40.0;
/// ms after which a handout is made anew though nothing was told: hosts warm up, traffic changes, proxies fall silent.
const ANEW: Millis = 250.0;
/// ms between two calls for the whole list while it is behind what is known.
const ASK_BEHIND: Millis = 5_000.0;
/// ms for which a host that left the list may still be reported of.
const HOST_KEPT: Millis = 60_000.0;
/// Builds that one address is known to have had: a host comes back with another one.
const BUILDS_KEPT: usize = 4;

/// One host's address: whose it is, with which builds, and when it was last on the list.
struct Known {
    instance: String,
    builds: BTreeSet<Version>,
    seen: Millis,
}

struct Proxy {
    number: u64,
    /// Streams of discovery that are open.
    open: u32,
}

/// The service's state.
pub struct ControlPlane {
    choice: Policy,
    world: KnownState,
    gathered: LoadReportAggregator,
    ledger: ShareLedger,
    labels: VersionSigner,
    terms: ProxyConfigSettings,
    made_of: Arc<ResourceConfig>,
    admission: Admission,
    addresses: BTreeMap<String, SocketAddr>,
    known: BTreeMap<SocketAddr, Known>,
    events: Vec<Event>,
    snapshot: Option<Arc<ResourceSnapshot>>,
    proxies: BTreeMap<String, Proxy>,
    numbers: u64,
    /// Streams that began: the proxy, and whether it reports loads.
    streams: BTreeMap<u64, (String, bool)>,
    knocking: BTreeMap<u64, String>,
    /// When a handout is due, and when one was last made.
    due: Millis,
    made: Millis,
    wake: Millis,
    asked: Millis,
    behind: bool,
    waiting_for: Option<&'static str>,
}

/// What is to be done now.
#[derive(Default)]
pub struct Effects {
    /// Of the decisions: votes, calls for the list, log lines.
    pub actions: Vec<Action>,
    /// A new snapshot, to be handed out; and what is to be kept.
    pub published: Option<(Arc<ResourceSnapshot>, PersistedState)>,
    /// Streams whose turn it is.
    pub admitted_streams: Vec<u64>,
}

impl ControlPlane {
    /// A service that begins from what was kept.
    pub fn new(
        choice: Policy, terms: ProxyConfigSettings, front: ListenerConfig, labels: VersionSigner,
        streams_most: usize, platform_only: bool, kept: Option<PersistedState>,
    ) -> Self {
        let names = terms.classes.iter().map(|product| product.name.clone()).collect();
        let (basis, withdrawn) =
            kept.map_or((None, BTreeSet::new()), |kept| (Some(kept.version), kept.rolled_back_versions));
        let (addresses, known, events) = Default::default();
        ControlPlane {
            choice,
            world: KnownState::restore(basis, withdrawn),
            gathered: LoadReportAggregator::new(names, platform_only),
            ledger: ShareLedger::new(2 * streams_most),
            labels,
            made_of: Arc::new(ResourceConfig { classes: terms.classes.clone(), listener: front }),
            terms,
            admission: Admission::new(streams_most),
            addresses,
            known,
            events,
            snapshot: None,
            proxies: BTreeMap::new(),
            numbers: 0,
            streams: BTreeMap::new(),
            knocking: BTreeMap::new(),
            due: 0.0,
            made: f64::NEG_INFINITY,
            wake: 0.0,
            asked: f64::NEG_INFINITY,
            behind: false,
            waiting_for: None,
        }
    }

    /// The first news of a burst is handed out at once, what follows it together a little later.
    fn schedule_publish(&mut self, now: Millis) {
        self.due = self.due.min(now.max(self.made + COALESCE));
    }

    /// A list, or changes to it.
    pub fn on_endpoint_list(
        &mut self, version: u64, whole: bool, entries: Vec<(EndpointEntry, SocketAddr)>, now: Millis,
    ) {
        let heard = self.world.apply_endpoint_list(version, whole, now);
        self.behind = heard == UpdateResult::Stale && whole;
        if heard == UpdateResult::Stale {
            return;
        }
        if whole {
            self.addresses.clear();
        }
        for (listing, addr) in &entries {
            if listing.status == EndpointStatus::Removed {
                self.addresses.remove(&listing.endpoint);
                continue;
            }
            self.addresses.insert(listing.endpoint.clone(), *addr);
            let known = self.known.entry(*addr).or_insert_with(|| {
                let (instance, builds) = (listing.endpoint.clone(), BTreeSet::new());
                Known { instance, builds, seen: now }
            });
            known.instance.clone_from(&listing.endpoint);
            known.builds.insert(Version(listing.version.0));
            while known.builds.len() > BUILDS_KEPT {
                known.builds.pop_first();
            }
        }
        let here: BTreeSet<SocketAddr> = self.addresses.values().copied().collect();
        self.known.retain(|addr, known| {
            known.seen = if here.contains(addr) { now } else { known.seen };
            now - known.seen < HOST_KEPT
        });
        let kind = if whole { UpdateKind::Snapshot } else { UpdateKind::Delta };
        let entries = entries.into_iter().map(|(listing, _)| listing).collect();
        self.events.push(Event::EndpointUpdate { kind, list_version: version, entries });
        self.schedule_publish(now);
    }

    /// A call for the list failed, or its watch broke.
    pub fn on_endpoint_list_failed(&mut self) {
        self.world.endpoint_list_failed();
        self.events.push(Event::EndpointUpdate {
            kind: UpdateKind::Failed,
            list_version: 0,
            entries: Vec::new(),
        });
    }

    /// A vote was answered, or will not be.
    pub fn on_vote_completed(&mut self, outcome: VoteOutcome, now: Millis) {
        match outcome {
            VoteOutcome::Counted(rollout) => self.on_rollout_state(rollout, now),
            VoteOutcome::NotCounted | VoteOutcome::Unknown => {
                self.events.push(Event::VoteCompleted(outcome));
            }
        }
    }

    /// The state of the newest version's rollout, as the platform tells it.
    pub fn on_rollout_state(&mut self, news: RolloutState, now: Millis) {
        // The world alone remembers which build was found bad: of the next one nothing is known yet.
        let condemned = self
            .world
            .rollout()
            .is_some_and(|known| known.version == news.version && known.status == RolloutStatus::Rejected);
        let taken = self.world.apply_rollout_state(&news, condemned, now);
        self.events.extend(taken.map(Event::RolloutUpdate));
        self.schedule_publish(now);
    }

    /// A tally of the platform: counts where proxies report nothing themselves.
    pub fn on_outcome_report(&mut self, tally: Event, now: Millis) {
        if self.gathered.uses_platform_counts(now) {
            self.events.push(tally);
        }
    }

    /// A stream that only reports loads wants to begin; false: there are too many.
    pub fn open_load_stream(&mut self, stream: u64, node: &str) -> bool {
        let begins = self.admission.admit_load_reports(stream) == AdmissionResult::Queued;
        if begins {
            self.proxy(node);
            self.streams.insert(stream, (node.to_string(), true));
        }
        begins
    }

    /// A stream wants to begin; false: there are too many.
    pub fn request_stream(&mut self, stream: u64, node: String, now: Millis) -> bool {
        let waits = self.admission.request_slot(stream, &node, now) == AdmissionResult::Queued;
        if waits {
            self.knocking.insert(stream, node);
        }
        waits
    }

    fn proxy(&mut self, node: &str) -> &mut Proxy {
        let numbers = &mut self.numbers;
        self.proxies.entry(node.to_string()).or_insert_with(|| {
            *numbers += 1;
            Proxy { number: *numbers, open: 0 }
        })
    }

    fn begin(&mut self, stream: u64) {
        let Some(node) = self.knocking.remove(&stream) else { return };
        let proxy = self.proxy(&node);
        proxy.open += 1;
        let number = proxy.number;
        self.ledger.connected(number);
        self.streams.insert(stream, (node, false));
    }

    fn number(&self, stream: u64) -> Option<u64> {
        Some(self.proxies.get(&self.streams.get(&stream)?.0)?.number)
    }

    /// A stream ended.
    pub fn on_stream_closed(&mut self, stream: u64, now: Millis) {
        self.admission.on_stream_closed(stream);
        self.knocking.remove(&stream);
        // Whether it reports loads or not, it goes on by what it holds.
        let Some((node, false)) = self.streams.remove(&stream) else { return };
        let Some(proxy) = self.proxies.get_mut(&node) else { return };
        proxy.open = proxy.open.saturating_sub(1);
        if proxy.open == 0 {
            self.ledger.disconnected(proxy.number, now);
            self.gathered.disconnected(proxy.number);
        }
    }

    /// What a stream has learnt.
    pub fn on_stream_events(&mut self, stream: u64, said: Vec<StreamEvent>, now: Millis) {
        let Some(number) = self.number(stream) else { return };
        for said in said {
            match said {
                StreamEvent::Holds { resource_type: kind, version: label } => {
                    self.holds(number, kind, &label, now)
                }
                StreamEvent::Acknowledged(shares) => self.ledger.acknowledged(number, &shares),
                StreamEvent::Rejected { resource_type: kind, message: words } => {
                    let node = self.streams.get(&stream).map(|(node, _)| node);
                    tracing::warn!(
                        node,
                        ?kind,
                        words,
                        "a proxy refused what it was sent and keeps what it has"
                    );
                    if kind == ResourceType::Route {
                        self.ledger.rejected(number);
                    }
                }
            }
        }
    }

    fn holds(&mut self, number: u64, kind: ResourceType, label: &SignedVersion, now: Millis) {
        // It may go on by what it held, whoever told it: the cap of then bounds its share.
        let news = label.version.rollout;
        let part = if matches!(news.status, RolloutStatus::Canary | RolloutStatus::RollingBack) {
            news.traffic_cap
        } else {
            0
        };
        if kind == ResourceType::Route {
            self.ledger.report_held(number, vec![part; self.terms.classes.len()]);
        }
        let learnt = self.world.apply_proxy_version(label, now);
        if let Some(news) = learnt {
            self.events.push(Event::RolloutUpdate(news));
            self.schedule_publish(now);
        }
    }

    /// Routes go out on a stream.
    pub fn on_routes_sent(&mut self, stream: u64, trial: &CanaryShares, now: Millis) {
        if let Some(number) = self.number(stream) {
            self.ledger.sent(number, trial, now);
        }
    }

    /// A load report.
    ///
    /// # Errors
    /// What cannot be in it.
    pub fn on_load_report(&mut self, stream: u64, report: &ProxyReport, now: Millis) -> Result<(), String> {
        let Some(number) = self.number(stream).filter(|_| !self.known.is_empty()) else { return Ok(()) };
        let whose = |addr: &SocketAddr, build| {
            let known = self.known.get(addr).filter(|known| known.builds.contains(&build));
            known.map(|known| known.instance.as_str())
        };
        let rates = self.gathered.add_report(number, report, whose, now)?;
        self.ledger.set_request_rate(number, rates);
        Ok(())
    }

    /// When [`ControlPlane::poll`] is to be called next, at the latest.
    pub fn next_poll_at(&self, now: Millis) -> Millis {
        let door = if self.admission.has_pending() { now + 1.0 } else { f64::INFINITY };
        let events = if self.events.is_empty() { f64::INFINITY } else { now + COALESCE };
        self.due.min(self.wake).min(door).min(events)
    }

    /// Decides on all that was taken in.
    pub fn poll(&mut self, now: Millis) -> Effects {
        let mut doings = Effects { admitted_streams: self.admission.poll(now), ..Effects::default() };
        doings.admitted_streams.iter().for_each(|stream| self.begin(*stream));
        if now < self.due && now < self.wake {
            return doings;
        }
        let mut events = std::mem::take(&mut self.events);
        events.extend(self.gathered.drain_events(now));
        if self.wake <= now {
            events.push(Event::TimerFired { token: "look".to_string() });
        }
        self.wake = f64::INFINITY;
        for action in self.choice.handle_events(now, events) {
            match action {
                Action::SetTimer { after, .. } => self.wake = self.wake.min(now + after.max(1.0)),
                action => doings.actions.push(action),
            }
        }
        if self.wake == f64::INFINITY {
            self.wake = now + ANEW;
        }
        if (self.behind || self.world.is_endpoint_list_stale()) && now - self.asked >= ASK_BEHIND {
            self.asked = now;
            doings.actions.push(Action::FetchEndpoints);
        }
        if now >= self.due {
            (self.due, self.made) = (now + ANEW, now);
            doings.published = self.publish(now);
        }
        doings
    }

    fn publish(&mut self, now: Millis) -> Option<(Arc<ResourceSnapshot>, PersistedState)> {
        self.ledger.forget_disconnected(now);
        let ControlPlane { proxies, ledger, .. } = self;
        if proxies.len() > 2 * ledger.len() + 64 {
            proxies.retain(|_, proxy| proxy.open > 0);
        }
        let mut outlook = self.choice.snapshot(now);
        if outlook.is_canary_rejected {
            self.world.reject_canary();
        }
        let basis = match self.world.config_version() {
            Ok(basis) => basis,
            Err(why) => {
                if self.waiting_for.replace(why) != Some(why) {
                    tracing::info!(why, "nothing is handed out");
                }
                return None;
            }
        };
        if basis.rollout.status == RolloutStatus::Rejected && outlook.canary_share < 1.0 {
            // Found bad by another service.
            outlook.canary_share = 0.0;
        }
        let (addresses, withdrawn) = (&self.addresses, self.world.rolled_back_versions());
        let made =
            proxy_config::build_proxy_config(&outlook, &self.terms, withdrawn, addresses, &self.ledger, now);
        let earlier = self.snapshot.as_deref();
        let snapshot = ResourceSnapshot::build(&made, basis, &self.made_of, &self.labels, earlier);
        self.waiting_for = None;
        if earlier.is_some_and(|earlier| earlier.version == basis && snapshot.has_same_resources(earlier)) {
            return None;
        }
        let moved = earlier.is_none_or(|earlier| earlier.version.rollout != basis.rollout);
        if moved {
            let ConfigVersion { rollout: news, endpoints: list } = basis;
            tracing::info!(?news, list = list.version, trial = ?made.canary_shares, "handed out");
        }
        let snapshot = Arc::new(snapshot);
        self.snapshot = Some(snapshot.clone());
        Some((snapshot, PersistedState { version: basis, rolled_back_versions: withdrawn.clone() }))
    }
}
