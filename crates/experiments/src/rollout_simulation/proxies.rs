//! Routing by proxies, which draw a cluster for a request and a host for each attempt.

use super::model::{AttemptCompletion, SelectedRoute};
use super::parameters::{CLASSES, TICK, TICKS_PER_LOAD_REPORT};
use super::proxy_group::draw_cluster;
use super::simulation::Simulation;
use latchhaven_policy::{AttemptOutcome, RequestId};

/// The retry condition that allows a retry after failures that may have executed the request.
const RETRY_ON_FAILURE: &str = "5xx";

impl Simulation {
    /// Sends load reports at their interval, polls the control service, and delivers its messages to proxies.
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

    /// Draws a cluster for a new request by the routes of its proxy, and sends the first attempt. A request without a
    /// route or cluster fails.
    pub(super) fn route_by_proxy(&mut self, id: RequestId) {
        let Some(proxy_group) = &self.proxy_group else { return };
        let request = self.requests.get_mut(&id).expect("a new request");
        let cache = &proxy_group.proxies[request.router].cache;
        let Some(route) = cache.route(CLASSES[request.class].name, false) else {
            return self.close_request(id, false);
        };
        let Some(cluster) = draw_cluster(route, &mut self.rng) else {
            return self.close_request(id, false);
        };
        let allows_retries = cache.cluster_endpoints(&cluster).allows_retries;
        let retries_left = if allows_retries { route.max_retries } else { 0 };
        request.route = Some(SelectedRoute { cluster, retries_left, retry_on: route.retry_on.clone() });
        self.attempt_by_proxy(id);
    }

    /// Sends an attempt to a host of the request's cluster; the request fails if no host is healthy.
    fn attempt_by_proxy(&mut self, id: RequestId) {
        let Some(proxy_group) = &mut self.proxy_group else { return };
        let request = &self.requests[&id];
        let Some(route) = &request.route else { return };
        let proxy = &mut proxy_group.proxies[request.router];
        let Some(host) = proxy.choose_host(&route.cluster, &mut self.rng) else {
            return self.close_request(id, false);
        };
        proxy.in_flight[host] += 1;
        self.send_attempt(id, host);
    }

    /// Counts the completion of an attempt in the proxy that sent it, which then retries or closes the request.
    pub(super) fn on_proxy_attempt_completed(
        &mut self, id: RequestId, index: usize, completion: &AttemptCompletion,
    ) {
        let Some(proxy_group) = &mut self.proxy_group else { return };
        let request =
            self.requests.get_mut(&id).expect("a request is removed only after its attempts have completed");
        let Some(route) = &mut request.route else { return };
        proxy_group.proxies[index].record(&route.cluster, completion);
        let is_retryable =
            route.retry_on.contains(RETRY_ON_FAILURE) || completion.outcome.is_definitely_not_executed();
        let has_failed = completion.outcome != AttemptOutcome::Success && !completion.is_late;
        if has_failed && is_retryable && route.retries_left > 0 && !request.is_closed {
            route.retries_left -= 1;
            self.attempt_by_proxy(id);
        } else {
            self.close_request(id, completion.is_success());
        }
    }
}
