//! Routing by proxies.

use super::model::EndedAttempt;
use super::parameters::{CLASSES, TICK, TICKS_PER_LOAD_REPORT};
use super::proxy_group::draw_cluster;
use super::simulation::Simulation;
use latchhaven_policy::{AttemptOutcome, RequestId};

/// The retry condition that covers failures after which a request may have been executed.
const RETRY_ON_FAILURE: &str = "5xx";

impl Simulation {
    /// Sends load reports once a second, polls the control service, and delivers its messages to proxies.
    pub(super) fn run_control_plane(&mut self) {
        let now = self.now;
        let Some(proxy_group) = &mut self.proxy_group else { return };
        let tick = (now / TICK).round() as u64;
        if tick.is_multiple_of(TICKS_PER_LOAD_REPORT) && now > 0.0 {
            proxy_group.send_load_reports(now);
        }
        self.votes.extend(proxy_group.poll_control_plane(now));
        proxy_group.exchange_messages(now);
    }

    /// A proxy draws a cluster for a new request.
    pub(super) fn route_by_proxy(&mut self, id: RequestId) {
        let Some(proxy_group) = &self.proxy_group else { return };
        let request = self.requests.get_mut(&id).expect("an open request");
        let cache = &proxy_group.proxies[request.router].cache;
        let Some(route) = cache.route(CLASSES[request.class].name, false) else {
            return self.close_request(id, false);
        };
        request.cluster = draw_cluster(route, &mut self.rng);
        let allows_retries = cache.cluster_endpoints(&request.cluster).allows_retries;
        request.retries_left = if allows_retries { route.max_retries } else { 0 };
        request.retry_on.clone_from(&route.retry_on);
        self.attempt_by_proxy(id);
    }

    /// Sends an attempt to a host of the cluster that was drawn.
    fn attempt_by_proxy(&mut self, id: RequestId) {
        let Some(proxy_group) = &mut self.proxy_group else { return };
        let request = &self.requests[&id];
        let proxy = &mut proxy_group.proxies[request.router];
        let Some(host) = proxy.choose_host(&request.cluster, &mut self.rng) else {
            return self.close_request(id, false);
        };
        proxy.in_flight[host] += 1;
        self.send_attempt(id, host);
    }

    /// An attempt that a proxy sent has ended.
    pub(super) fn on_proxy_attempt_ended(&mut self, id: RequestId, index: usize, ended: &EndedAttempt) {
        let Some(proxy_group) = &mut self.proxy_group else { return };
        let request = self.requests.get_mut(&id).expect("an open request");
        proxy_group.proxies[index].record(&request.cluster, ended);
        let is_retryable =
            request.retry_on.contains(RETRY_ON_FAILURE) || ended.outcome.is_definitely_not_executed();
        let has_failed = ended.outcome != AttemptOutcome::Success && !ended.is_late;
        if has_failed && is_retryable && request.retries_left > 0 && !request.is_closed {
            request.retries_left -= 1;
            self.attempt_by_proxy(id);
        } else {
            self.close_request(id, ended.is_success());
        }
    }
}
