//! The event loop: passes events of discovery, the platform and proxies to the control plane, and applies its
//! effects.

use crate::control_plane::{ControlPlane, Effects};
use crate::limits::{self, MAX_EVENT_BATCH};
use crate::state_store::StateWriter;
use latchhaven_gateway::clock::{Clock, duration};
use latchhaven_gateway::discovery::snapshot_client::SnapshotFirstClient;
use latchhaven_gateway::net::DriverEvent;
use latchhaven_gateway::net::discovery_tasks::DiscoveryTasks;
use latchhaven_gateway::net::platform::Vote;
use latchhaven_policy::Millis;
use latchhaven_xds::resources::ResourceSnapshot;
use latchhaven_xds::server::{LoadReportRejected, ServerEvent, StreamKind};
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::select;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};
use tonic::Status;

/// Sends a waiting stream its admission, or the status with which it is rejected.
type AdmissionSender = oneshot::Sender<Result<(), Status>>;

/// Owns the control plane, and its connections to discovery, the platform, the xDS server and the state store.
pub(super) struct ControlPlaneDriver {
    pub(super) control_plane: ControlPlane,
    pub(super) clock: Clock,
    pub(super) discovery: SnapshotFirstClient,
    pub(super) discovery_tasks: DiscoveryTasks,
    /// Votes to cast at the platform.
    pub(super) votes: mpsc::Sender<Vote>,
    /// Discovery streams that are pending admission, by the number of the stream.
    pub(super) pending_admissions: BTreeMap<u64, AdmissionSender>,
    /// `None` if nothing is persisted: no path is configured, or the store is unusable.
    pub(super) state_writer: Option<StateWriter>,
    /// The resources that the xDS server sends; `None` before the first publication.
    pub(super) snapshots: watch::Sender<Option<Arc<ResourceSnapshot>>>,
}

impl ControlPlaneDriver {
    /// Processes events and polls the control plane until a channel of events is closed.
    pub(super) async fn run(
        mut self, mut upstream_events: mpsc::Receiver<DriverEvent>,
        mut server_events: mpsc::Receiver<ServerEvent>,
    ) {
        let mut upstream_batch = Vec::new();
        let mut server_batch = Vec::new();
        loop {
            let next_poll = self.next_poll();
            select! {
                biased;
                count = upstream_events.recv_many(&mut upstream_batch, MAX_EVENT_BATCH) => if count == 0 { return },
                count = server_events.recv_many(&mut server_batch, MAX_EVENT_BATCH) => if count == 0 { return },
                () = sleep_until(next_poll) => {}
            }
            let now = self.clock.now();
            for event in upstream_batch.drain(..) {
                self.on_upstream_event(event, now);
            }
            for event in server_batch.drain(..) {
                self.on_server_event(event, now);
            }
            let effects = self.control_plane.poll(now);
            self.apply_effects(effects, now);
        }
    }

    fn next_poll(&self) -> Instant {
        let now = self.clock.now();
        let poll_at = self.control_plane.next_poll_at(now);
        Instant::now() + duration(limits::poll_delay(now, poll_at))
    }

    fn apply_effects(&mut self, effects: Effects, now: Millis) {
        for stream in effects.admitted_streams {
            // A stream that timed out while its admission was pending has dropped the receiver.
            let admission = self.pending_admissions.remove(&stream);
            let is_open = admission.is_some_and(|admission| admission.send(Ok(())).is_ok());
            if !is_open {
                self.control_plane.on_stream_closed(stream, now);
            }
        }
        for action in effects.actions {
            self.perform_action(action);
        }
        if let Some(publication) = effects.publication {
            if let Some(writer) = &self.state_writer {
                writer.persist(publication.state);
            }
            self.snapshots.send_replace(Some(publication.snapshot));
        }
    }

    fn on_server_event(&mut self, event: ServerEvent, now: Millis) {
        match event {
            ServerEvent::StreamOpened { stream, node_id, kind: StreamKind::LoadReport, admitted } => {
                self.admit_load_report_stream(stream, &node_id, admitted, now);
            }
            ServerEvent::StreamOpened { stream, node_id, kind: StreamKind::Discovery, admitted } => {
                self.queue_discovery_stream(stream, &node_id, admitted, now);
            }
            ServerEvent::StreamEvents { stream, events } => {
                self.control_plane.on_stream_events(stream, events, now);
            }
            ServerEvent::RoutesSent { stream, canary_shares } => {
                self.control_plane.on_routes_sent(stream, &canary_shares, now);
            }
            ServerEvent::LoadReport { stream, report, result } => {
                let validity = self.control_plane.on_load_report(stream, &report, now);
                let _ = result.send(validity.map_err(LoadReportRejected::new));
            }
            ServerEvent::StreamClosed { stream } => {
                self.pending_admissions.remove(&stream);
                self.control_plane.on_stream_closed(stream, now);
            }
        }
    }

    fn admit_load_report_stream(&mut self, stream: u64, node: &str, admission: AdmissionSender, now: Millis) {
        if !self.control_plane.open_load_report_stream(stream, node) {
            let _ = admission.send(Err(too_many_streams(stream, node)));
        } else if admission.send(Ok(())).is_err() {
            self.control_plane.on_stream_closed(stream, now);
        }
    }

    fn queue_discovery_stream(&mut self, stream: u64, node: &str, admission: AdmissionSender, now: Millis) {
        if self.control_plane.request_discovery_stream(stream, node, now) {
            self.pending_admissions.insert(stream, admission);
        } else {
            let _ = admission.send(Err(too_many_streams(stream, node)));
        }
    }
}

/// Logs that a stream is rejected, and returns the status with which it ends.
fn too_many_streams(stream: u64, node: &str) -> Status {
    tracing::debug!(node, stream, reason = "too many streams", "xds: stream rejected");
    Status::resource_exhausted("too many streams: retry later")
}
