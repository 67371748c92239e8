//! A proxy, and its connection to a control service.

use super::control_service::ControlService;
use super::platform::PlatformState;
use latchhaven_policy::{Millis, RolloutPhase};
use latchhaven_proxy_config::version::VersionSigner;
use latchhaven_test_support::resource_cache::{CacheRequest, ResourceCache};
use latchhaven_xds::resources::ResourceType;
use latchhaven_xds::stream::{Stream, StreamEvent, StreamResponse};
use std::collections::VecDeque;

/// A discovery stream between a proxy and a control service, with the messages that are sent but not yet delivered.
pub(crate) struct Connection {
    service: usize,
    pub(crate) stream: Stream,
    requests: VecDeque<CacheRequest>,
    responses: VecDeque<StreamResponse>,
}

pub(crate) struct Proxy {
    pub(crate) cache: ResourceCache,
    pub(crate) connection: Option<Connection>,
}

impl Proxy {
    pub(crate) fn new(index: usize) -> Self {
        Proxy { cache: ResourceCache::new(&format!("p{index}"), index.is_multiple_of(2)), connection: None }
    }

    pub(crate) fn connect(&mut self, service: usize, signer: &VersionSigner) {
        let requests = self.cache.initial_requests().into();
        let stream = Stream::new(self.cache.is_incremental(), None, signer.clone());
        self.connection = Some(Connection { service, stream, requests, responses: VecDeque::new() });
    }

    pub(crate) fn disconnect_from(&mut self, service: usize) {
        self.connection.take_if(|connection| connection.service == service);
    }

    /// Delivers one request to the service, which applies the versions that the proxy reports.
    pub(crate) fn deliver_request(&mut self, services: &mut [ControlService], now: Millis) {
        let Some(connection) = &mut self.connection else { return };
        let Some(request) = connection.requests.pop_front() else { return };
        connection.stream.on_request(request.into()).expect("requests of the proxy must be valid");
        for event in connection.stream.take_events() {
            if let StreamEvent::VersionReported { version, .. } = event {
                services[connection.service].version_tracker.apply_proxy_version(&version, now);
            }
        }
    }

    /// Sends one response, if the service has a snapshot and a response is due.
    pub(crate) fn send_response(&mut self, services: &[ControlService]) {
        let Some(connection) = &mut self.connection else { return };
        let snapshot = services[connection.service].snapshot.as_ref();
        let response = snapshot.and_then(|snapshot| connection.stream.next_response(snapshot));
        connection.responses.extend(response);
        assert!(
            connection.responses.len() <= ResourceType::ALL.len(),
            "more than one pending response for a type"
        );
    }

    /// Delivers one response to the proxy, which accepts or rejects it.
    pub(crate) fn deliver_response(&mut self, reject: bool) {
        let Some(connection) = &mut self.connection else { return };
        let Some(response) = connection.responses.pop_front() else { return };
        connection.requests.extend(self.cache.apply_response(&response.chunks.concat(), reject));
        assert_eq!(self.cache.version_regressions, 0, "a response has an older version than one before");
        assert_eq!(
            self.cache.dangling_responses,
            0,
            "reference to {:?}, which is not cached: {:?}",
            self.cache.dangling_reference(),
            self.cache
        );
    }

    /// Delivers one request, sends one response, and delivers one response, which the proxy accepts.
    pub(crate) fn exchange(&mut self, services: &mut [ControlService], now: Millis) {
        self.deliver_request(services, now);
        self.send_response(services);
        self.deliver_response(false);
    }

    /// Asserts that the proxy has all resources of its service, which has observed the last state of the platform.
    pub(crate) fn assert_converged(&self, services: &[ControlService], platform: &PlatformState) {
        let connection = self.connection.as_ref().unwrap();
        let service = &services[connection.service];
        let snapshot = service.snapshot.as_ref().expect("the service must have published a snapshot");
        assert_eq!(
            connection.stream.first_pending_type(snapshot),
            None,
            "resources of this type differ from the snapshot: {:?}\n {:?}\n{:?} {:?}",
            self.cache,
            service.version_tracker,
            snapshot.version,
            platform
        );
        assert!(self.cache.dangling_reference().is_none());
        assert!(self.cache.route("look", false).is_some());
        let route = self.cache.route("pay", false).unwrap();
        let retries_only_unprocessed =
            route.retry_on == "connect-failure,refused-stream" || route.max_retries == 0;
        assert!(retries_only_unprocessed, "a request that is not idempotent may be executed twice");
        if matches!(platform.rollout.phase, RolloutPhase::RolledBack | RolloutPhase::RollingBack) {
            assert_eq!(self.cache.version_share("look", platform.rollout.version.0), 0);
        }
    }
}
