//! A proxy that exchanges messages with a control plane without a network.

use super::reports::{ReportedOutcomes, load_report};
use super::service::TestService;
use latchhaven_policy::Version;
use latchhaven_test_support::resource_cache::{CacheRequest, ResourceCache};
use latchhaven_xds::resources::ResourceType;
use latchhaven_xds::stream::Stream;

/// An open discovery stream, and the requests that the proxy has not sent yet.
pub(crate) struct ProxyStream {
    id: u64,
    pub(crate) stream: Stream,
    requests: Vec<CacheRequest>,
}

/// A proxy with its cache of resources.
pub(crate) struct TestProxy {
    pub(crate) cache: ResourceCache,
    pub(crate) stream: Option<ProxyStream>,
    /// Set when the proxy rejects all routes.
    pub(crate) rejects_routes: bool,
    node: String,
}

impl TestProxy {
    pub(crate) fn new(node: &str, incremental: bool) -> Self {
        TestProxy {
            cache: ResourceCache::new(node, incremental),
            stream: None,
            rejects_routes: false,
            node: node.to_string(),
        }
    }

    pub(crate) fn stream_id(&self) -> Option<u64> {
        self.stream.as_ref().map(|stream| stream.id)
    }

    pub(crate) fn connect(&mut self, service: &mut TestService) {
        let id = service.next_stream();
        assert!(service.control_plane.request_discovery_stream(id, &self.node, service.now));
        service.advance(20.0);
        let stream = Stream::new(self.cache.is_incremental(), None, service.signer.clone());
        self.stream = Some(ProxyStream { id, stream, requests: self.cache.initial_requests() });
    }

    pub(crate) fn disconnect(&mut self, service: &mut TestService) {
        if let Some(stream) = self.stream.take() {
            service.control_plane.on_stream_closed(stream.id, service.now);
        }
    }

    /// Sends requests and receives responses until there are none. Returns the number of responses. Fails if an older
    /// version replaced a newer one, or if a resource refers to a missing one.
    pub(crate) fn exchange(&mut self, service: &mut TestService) -> usize {
        let mut responses = 0;
        while self.exchange_once(service) {
            responses += 1;
        }
        assert_eq!(
            (self.cache.version_regressions, self.cache.dangling_responses),
            (0, 0),
            "{:?}",
            self.cache.dangling_reference()
        );
        responses
    }

    pub(crate) fn send_requests(&mut self, service: &mut TestService) {
        let Some(ProxyStream { id, stream, requests }) = &mut self.stream else { return };
        for request in requests.drain(..) {
            stream.on_request(request.into()).expect("the request is valid");
        }
        let events = stream.take_events();
        service.control_plane.on_stream_events(*id, events, service.now);
    }

    /// Sends requests and receives one response. Returns `false` if there was none.
    pub(crate) fn exchange_once(&mut self, service: &mut TestService) -> bool {
        self.send_requests(service);
        let Some(ProxyStream { id, stream, requests }) = &mut self.stream else { return false };
        let response = service.snapshot.as_ref().and_then(|snapshot| stream.next_response(snapshot));
        let events = stream.take_events();
        service.control_plane.on_stream_events(*id, events, service.now);
        let Some(response) = response else { return false };
        if let Some(canary_shares) = &response.canary_shares {
            service.control_plane.on_routes_sent(*id, canary_shares, service.now);
        }
        let is_rejected = self.rejects_routes && response.resource_type == ResourceType::Route;
        *requests = self.cache.apply_response(&response.chunks.concat(), is_rejected);
        true
    }

    /// Returns the share of the first class's requests that the proxy sends to a version, from 0 to 1.
    pub(crate) fn share_of(&self, version: Version) -> f64 {
        f64::from(self.cache.version_share("look", version.0)) / 1e6
    }
}

pub(crate) fn exchange_all(proxies: &mut [TestProxy], service: &mut TestService) {
    for proxy in proxies {
        proxy.exchange(service);
    }
}

/// Sends load reports with a high request rate and without failures from all connected proxies.
fn report_traffic(service: &mut TestService, proxies: &[&TestProxy]) {
    for proxy in proxies {
        let Some(stream) = proxy.stream_id() else { continue };
        let outcomes = |class| ReportedOutcomes { class, ..ReportedOutcomes::new(Version(1), 1, 4000, 0) };
        let report = load_report([outcomes(0), outcomes(1)]);
        service.control_plane.on_load_report(stream, &report, service.now).expect("the report is valid");
    }
    service.advance(300.0);
}

/// Starts a service whose canary, version 2, has a cap of 0.5, and proxies that have its configuration. Every second
/// proxy uses incremental streams.
pub(crate) fn service_with_canary(proxies: usize) -> (TestService, Vec<TestProxy>) {
    let mut service = TestService::start(100_000.0, "site", None);
    service.start_canary(1, 0.5);
    let names = (0..proxies).map(|n| (format!("p{n}"), n % 2 == 1));
    let mut all: Vec<TestProxy> =
        names.map(|(name, incremental)| TestProxy::new(&name, incremental)).collect();
    for proxy in &mut all {
        proxy.connect(&mut service);
        proxy.exchange(&mut service);
    }
    let connected: Vec<&TestProxy> = all.iter().collect();
    report_traffic(&mut service, &connected);
    service.advance(1_000.0);
    exchange_all(&mut all, &mut service);
    let shares: Vec<f64> = all.iter().map(|proxy| proxy.share_of(Version(2))).collect();
    assert!(shares.iter().all(|share| *share > 0.4), "{shares:?}");
    (service, all)
}
