//! Handlers of events from discovery, the platform and proxies.

use super::ControlPlane;
use crate::limits;
use latchhaven_policy::{EndpointEntry, Event, Millis, RolloutState, UpdateFailure, UpdateKind, VoteOutcome};
use latchhaven_proxy_config::freshness::UpdateResult;
use latchhaven_proxy_config::load_reports::{ProxyReport, ReportError};
use latchhaven_proxy_config::published_shares::CanaryShares;
use latchhaven_proxy_config::version::{ReportedVersion, RolloutStatus};
use latchhaven_xds::admission::AdmissionResult;
use latchhaven_xds::resources::ResourceType;
use latchhaven_xds::stream::StreamEvent;
use std::net::SocketAddr;

/// Events of discovery and the platform.
impl ControlPlane {
    /// Handles a snapshot of the endpoint list, or a delta to it, with the address of each endpoint. A stale list is
    /// not applied.
    pub fn on_endpoint_list(
        &mut self, version: u64, is_snapshot: bool, entries: Vec<(EndpointEntry, SocketAddr)>, now: Millis,
    ) {
        let result = self.version_tracker.apply_endpoint_list(version, is_snapshot, now);
        if result == UpdateResult::Stale {
            return;
        }
        self.addresses.apply(&entries, is_snapshot, now);
        let kind = if is_snapshot { UpdateKind::Snapshot } else { UpdateKind::Delta };
        let entries = entries.into_iter().map(|(entry, _)| entry).collect();
        self.pending_events.push(Event::EndpointUpdate { kind, list_version: version, entries });
        self.schedule.schedule_publication(now);
    }

    /// Handles a failed request for the endpoint list, or the end of the watch of the list.
    pub fn on_endpoint_list_failed(&mut self) {
        self.version_tracker.on_endpoint_list_failed();
        self.pending_events.push(Event::EndpointUpdateFailed(UpdateFailure::default()));
    }

    /// Handles the outcome of a vote that the policy cast.
    pub fn on_vote_completed(&mut self, outcome: VoteOutcome, now: Millis) {
        match outcome {
            // The reply contains the rollout state, which is compared with the known one like any other. The policy
            // handles the event of a counted vote as it handles a rollout update.
            VoteOutcome::Counted(rollout) => self.on_rollout_state(rollout, now),
            VoteOutcome::NotCounted | VoteOutcome::Unknown => {
                self.pending_events.push(Event::VoteCompleted(outcome));
            }
        }
    }

    /// Handles the rollout state of the newest version, as the platform reported it. A state older than the known one
    /// is ignored.
    pub fn on_rollout_state(&mut self, rollout: RolloutState, now: Millis) {
        // A canary that was rejected remains rejected; the next version starts without a rejection.
        let is_rejected = self
            .version_tracker
            .rollout()
            .is_some_and(|known| known.version == rollout.version && known.status == RolloutStatus::Rejected);
        let applied = self.version_tracker.apply_rollout_state(&rollout, is_rejected, now);
        self.pending_events.extend(applied.map(Event::RolloutUpdate));
        self.schedule.schedule_publication(now);
    }

    /// Handles an outcome report of the platform. Unless
    /// [`platform_counts_only`](super::ControlPlaneConfig::platform_counts_only) is set, the report is used only
    /// while proxies send no load reports, because both count the same attempts.
    pub fn on_outcome_report(&mut self, report: Event, now: Millis) {
        if self.load_reports.uses_platform_counts(now) {
            self.pending_events.push(report);
        }
    }
}

/// Streams of proxies and their load reports.
impl ControlPlane {
    /// Admits a stream of load reports immediately. Returns `false` if there are too many streams; the caller then
    /// rejects the stream.
    pub fn open_load_report_stream(&mut self, stream: u64, node: &str) -> bool {
        let is_admitted = self.admission.admit_load_report_stream(stream) == AdmissionResult::SlotReserved;
        if is_admitted {
            self.proxies.open_load_report_stream(stream, node);
        }
        is_admitted
    }

    /// Queues a discovery stream for admission by [`ControlPlane::poll`]. Returns `false` if there are too many
    /// streams; the caller then rejects the stream.
    pub fn request_discovery_stream(&mut self, stream: u64, node: &str, now: Millis) -> bool {
        let is_queued = self.admission.request_slot(stream, node, now) == AdmissionResult::SlotReserved;
        if is_queued {
            self.proxies.add_pending_stream(stream, node.to_string());
        }
        is_queued
    }

    /// Handles the end of a stream, admitted or not. Its proxy continues to use the configuration that it has.
    pub fn on_stream_closed(&mut self, stream: u64, now: Millis) {
        self.admission.on_stream_closed(stream);
        if let Some(proxy) = self.proxies.close_stream(stream) {
            self.published_shares.on_disconnected(proxy, now);
            self.load_reports.on_disconnected(proxy);
        }
    }

    /// Handles events of an admitted discovery stream, in order.
    pub fn on_stream_events(&mut self, stream: u64, events: Vec<StreamEvent>, now: Millis) {
        let Some(proxy) = self.proxies.proxy_number(stream) else { return };
        for event in events {
            match event {
                StreamEvent::VersionReported { resource_type, version } => {
                    self.on_reported_version(proxy, resource_type, &version, now);
                }
                StreamEvent::Acknowledged(shares) => self.published_shares.on_acknowledged(proxy, &shares),
                StreamEvent::Rejected { resource_type, nonce, message } => {
                    let node = self.proxies.node(stream);
                    tracing::warn!(
                        node,
                        stream,
                        ?resource_type,
                        nonce,
                        reason = message,
                        "xds: proxy rejected a configuration"
                    );
                    if resource_type == ResourceType::Route {
                        self.published_shares.on_rejected(proxy);
                    }
                }
            }
        }
    }

    /// Records the canary shares, by request class, of routes that a stream is about to send. From now on the proxy
    /// may use them.
    pub fn on_routes_sent(&mut self, stream: u64, canary_shares: &CanaryShares, now: Millis) {
        if let Some(proxy) = self.proxies.proxy_number(stream) {
            self.published_shares.on_sent(proxy, canary_shares, now);
        }
    }

    /// Handles a proxy's load report. A report before the first endpoint list is ignored, because its endpoints
    /// cannot be checked.
    ///
    /// # Errors
    /// The report has implausible values, contradicts an earlier one, or names endpoints that are not in their
    /// cluster. The caller ends the stream.
    pub fn on_load_report(
        &mut self, stream: u64, report: &ProxyReport, now: Millis,
    ) -> Result<(), ReportError> {
        if self.addresses.is_empty() {
            return Ok(());
        }
        let Some(proxy) = self.proxies.proxy_number(stream) else { return Ok(()) };
        let addresses = &self.addresses;
        let endpoint_at = |address: &SocketAddr, version| addresses.endpoint_at(address, version);
        let request_rates =
            self.load_reports.add_report(proxy, report, endpoint_at, now).inspect_err(|reason| {
                let node = self.proxies.node(stream);
                tracing::debug!(node, stream, %reason, "xds: load report rejected");
            })?;
        self.published_shares.set_request_rate(proxy, request_rates);
        Ok(())
    }

    /// Handles the version of the resources that a proxy received on an earlier stream, possibly from another control
    /// plane. The proxy may be using the largest canary share that this version allows.
    fn on_reported_version(
        &mut self, proxy: u64, resource_type: ResourceType, version: &ReportedVersion, now: Millis,
    ) {
        if resource_type == ResourceType::Route {
            let max_share = limits::max_published_share(&version.version.rollout);
            self.published_shares.on_reported(proxy, vec![max_share; self.settings.classes.len()]);
        }
        if let Some(rollout) = self.version_tracker.apply_proxy_version(version, now) {
            self.pending_events.push(Event::RolloutUpdate(rollout));
            self.schedule.schedule_publication(now);
        }
    }
}
