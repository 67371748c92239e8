//! Proxies and two control services under random rollouts, endpoint changes, lost connections, rejections and restarts:
//! a proxy's version never decreases, no reference dangles, and all converge after the last change.

// A test fails where it unwraps.
#![allow(clippy::unwrap_used)]

mod control_service;
mod platform;
mod proxy;

use control_service::{ControlService, Setup};
use latchhaven_proxy_config::version::VersionSigner;
use platform::PlatformState;
use proptest::prelude::{ProptestConfig, any, prop, proptest};
use proxy::Proxy;

/// Rounds without faults after the random steps.
const QUIET_ROUNDS: usize = 80;
/// Rounds after which the endpoint subscription times out.
const ENDPOINT_SUBSCRIPTION_TIMEOUT_ROUNDS: usize = 20;
/// Exchanges of an undisturbed proxy in one step.
const UNDISTURBED_EXCHANGES: usize = 12;

/// One random step.
struct Step {
    kind: u8,
    detail: u8,
    pick: usize,
    reject: bool,
}

struct Simulation {
    setup: Setup,
    states: Vec<PlatformState>,
    services: [ControlService; 2],
    proxies: Vec<Proxy>,
}

impl Simulation {
    fn new(separate_endpoints: bool) -> Self {
        let signer = VersionSigner::new(Some(b"site".to_vec()));
        Simulation {
            setup: Setup { signer, separate_endpoints },
            states: vec![PlatformState::initial()],
            services: [ControlService::new(0), ControlService::new(0)],
            proxies: (0..4).map(Proxy::new).collect(),
        }
    }

    fn platform(&self) -> PlatformState {
        self.states.last().unwrap().clone()
    }

    fn step(&mut self, step: &Step) {
        let now = self.platform().now;
        let service = step.pick / 7 % 2;
        let index = step.pick % self.proxies.len();
        let proxy = &mut self.proxies[index];
        match step.kind % 10 {
            0 => self.states.push(self.platform().next(step.detail, step.pick)),
            1 | 2 => self.advance_service(service, 1 + usize::from(step.detail) % 3),
            3 if step.detail.is_multiple_of(4) => self.restart_service(service, step.pick),
            3 => proxy.connection = None,
            4 => proxy.connect(service, &self.setup.signer),
            5 => proxy.deliver_request(&mut self.services, now),
            6 => proxy.send_response(&self.services),
            7 => proxy.deliver_response(step.reject && step.detail.is_multiple_of(3)),
            _ => (0..UNDISTURBED_EXCHANGES).for_each(|_| proxy.exchange(&mut self.services, now)),
        }
    }

    /// A service sees later states, but perhaps not the last one.
    fn advance_service(&mut self, service: usize, states: usize) {
        let last_seen = self.services[service].last_seen + states;
        self.services[service].last_seen = last_seen.min(self.states.len() - 1);
        self.observe_last_seen(service);
    }

    /// A service restarts with a state that may be older than its last published one.
    fn restart_service(&mut self, service: usize, pick: usize) {
        self.services[service] = ControlService::new(pick % self.states.len());
        self.observe_last_seen(service);
        for proxy in &mut self.proxies {
            proxy.disconnect_from(service);
        }
    }

    fn observe_last_seen(&mut self, service: usize) {
        let service = &mut self.services[service];
        service.observe(&self.states[service.last_seen], &self.setup);
    }

    fn observe_everywhere(&mut self, platform: &PlatformState) {
        for service in &mut self.services {
            service.observe(platform, &self.setup);
        }
    }

    /// Without further changes: services see the last state, proxies are connected, and all messages arrive.
    fn settle(&mut self) {
        let platform = self.platform();
        self.observe_everywhere(&platform);
        for (index, proxy) in self.proxies.iter_mut().enumerate() {
            if proxy.connection.is_none() || proxy.cache.rejected_responses > 0 {
                proxy.connect(index % 2, &self.setup.signer);
            }
        }
        for round in 0..QUIET_ROUNDS {
            for proxy in &mut self.proxies {
                if let Some(connection) = &mut proxy.connection
                    && round > ENDPOINT_SUBSCRIPTION_TIMEOUT_ROUNDS
                {
                    connection.stream.on_endpoint_subscription_timeout();
                }
                proxy.exchange(&mut self.services, platform.now);
            }
            // A control service fetches a snapshot of the endpoint list while a proxy's version is newer than its own.
            self.observe_everywhere(&platform);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, ..latchhaven_proptest_config::deterministic() })]

    #[test]
    fn proxies_under_random_faults_never_regress_and_converge(
        steps in prop::collection::vec((any::<u8>(), any::<u8>(), any::<usize>(), any::<bool>()), 0..250),
        separate_endpoints: bool
    ) {
        let mut simulation = Simulation::new(separate_endpoints);
        for (kind, detail, pick, reject) in steps {
            simulation.step(&Step { kind, detail, pick, reject });
        }
        simulation.settle();
        for proxy in &simulation.proxies {
            proxy.assert_converged(&simulation.services, &simulation.platform());
        }
    }
}
