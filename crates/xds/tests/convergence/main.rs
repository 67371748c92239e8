//! Proxies and two control services under random rollouts, endpoint changes, lost connections, rejections and restarts.
//! The services may observe the platform at different times, so that a proxy that reconnects to the other service could
//! receive an older version, or routes to clusters that it does not have. Asserts that neither happens, and that all
//! proxies converge to the last state.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod control_service;
mod platform;
mod proxy;

use control_service::{ControlService, ControlServiceConfig};
use latchhaven_proxy_config::version::VersionSigner;
use platform::PlatformState;
use proptest::prelude::{ProptestConfig, any, prop, proptest};
use proxy::Proxy;

/// Rounds after the random steps, in which each proxy exchanges messages without faults.
const FAULT_FREE_ROUNDS: usize = 80;
/// Rounds after which the endpoint subscription times out.
const ENDPOINT_SUBSCRIPTION_TIMEOUT_ROUNDS: usize = 20;
/// Exchanges of messages in a step without faults.
const EXCHANGES_PER_FAULT_FREE_STEP: usize = 12;

/// The random inputs of one step of the simulation.
struct Step {
    action: u8,
    /// Selects the change of the platform, by how many states a service advances, and when rare faults occur.
    detail: u8,
    /// Selects the proxy, the service, the endpoint, and the state that a restarted service observes.
    selector: usize,
    reject: bool,
}

struct Simulation {
    service_config: ControlServiceConfig,
    /// All states of the platform, the newest one last.
    platform_states: Vec<PlatformState>,
    services: [ControlService; 2],
    proxies: Vec<Proxy>,
}

impl Simulation {
    fn new(separate_endpoints: bool) -> Self {
        let signer = VersionSigner::new(Some(b"site".to_vec()));
        Simulation {
            service_config: ControlServiceConfig { signer, separate_endpoints },
            platform_states: vec![PlatformState::initial()],
            services: [ControlService::new(0), ControlService::new(0)],
            proxies: (0..4).map(Proxy::new).collect(),
        }
    }

    fn platform(&self) -> PlatformState {
        self.platform_states.last().unwrap().clone()
    }

    fn step(&mut self, step: &Step) {
        let now = self.platform().now;
        // Divided, so that the choice of the service does not depend on that of the proxy.
        let service = step.selector / 7 % 2;
        let proxy_index = step.selector % self.proxies.len();
        let proxy = &mut self.proxies[proxy_index];
        match step.action % 10 {
            0 => self.platform_states.push(self.platform().next(step.detail, step.selector)),
            1 | 2 => self.advance_service(service, 1 + usize::from(step.detail) % 3),
            3 if step.detail.is_multiple_of(4) => self.restart_service(service, step.selector),
            3 => proxy.connection = None,
            4 => proxy.connect(service, &self.service_config.signer),
            5 => proxy.deliver_request(&mut self.services, now),
            6 => proxy.send_response(&self.services),
            7 => proxy.deliver_response(step.reject && step.detail.is_multiple_of(3)),
            _ => (0..EXCHANGES_PER_FAULT_FREE_STEP).for_each(|_| proxy.exchange(&mut self.services, now)),
        }
    }

    /// A service observes a later state of the platform, but maybe not the newest one.
    fn advance_service(&mut self, service: usize, states: usize) {
        let later_state = self.services[service].observed_state + states;
        self.services[service].observed_state = later_state.min(self.platform_states.len() - 1);
        self.publish_observed_state(service);
    }

    /// A service restarts without stored state and observes a state that may be older than the last one it published.
    fn restart_service(&mut self, service: usize, state: usize) {
        self.services[service] = ControlService::new(state % self.platform_states.len());
        self.publish_observed_state(service);
        for proxy in &mut self.proxies {
            proxy.disconnect_from(service);
        }
    }

    fn publish_observed_state(&mut self, service: usize) {
        let service = &mut self.services[service];
        service.observe(&self.platform_states[service.observed_state], &self.service_config);
    }

    fn observe_in_all_services(&mut self, platform: &PlatformState) {
        for service in &mut self.services {
            service.observe(platform, &self.service_config);
        }
    }

    /// Runs without further changes: all services observe the last state, and all proxies are connected and receive all
    /// messages.
    fn run_without_faults(&mut self) {
        let platform = self.platform();
        self.observe_in_all_services(&platform);
        for (index, proxy) in self.proxies.iter_mut().enumerate() {
            if proxy.connection.is_none() || proxy.cache.rejected_responses > 0 {
                proxy.connect(index % 2, &self.service_config.signer);
            }
        }
        for round in 0..FAULT_FREE_ROUNDS {
            for proxy in &mut self.proxies {
                if let Some(connection) = &mut proxy.connection
                    && round > ENDPOINT_SUBSCRIPTION_TIMEOUT_ROUNDS
                {
                    connection.stream.on_endpoint_subscription_timeout();
                }
                proxy.exchange(&mut self.services, platform.now);
            }
            // While a proxy has reported a newer endpoint list, a service polls discovery for a snapshot of the list.
            self.observe_in_all_services(&platform);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, ..latchhaven_proptest_config::deterministic() })]

    #[test]
    fn proxies_never_get_older_versions_and_converge_after_random_faults(
        steps in prop::collection::vec((any::<u8>(), any::<u8>(), any::<usize>(), any::<bool>()), 0..250),
        separate_endpoints: bool
    ) {
        let mut simulation = Simulation::new(separate_endpoints);
        for (action, detail, selector, reject) in steps {
            simulation.step(&Step { action, detail, selector, reject });
        }
        simulation.run_without_faults();
        for proxy in &simulation.proxies {
            proxy.assert_converged(&simulation.services, &simulation.platform());
        }
    }
}
