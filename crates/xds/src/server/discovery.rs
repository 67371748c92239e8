//! Discovery streams (xDS): passes messages between gRPC and the [`Stream`] state machine.

use super::context::{ServerContext, ServerEvent, StreamKind};
use super::discovery_method::DiscoveryMethod;
use super::stream_task::{
    ResponseFuture, ResponseItem, ResponseSender, ResponseStream, first_request, service_unavailable,
    spawn_stream, wait_for_admission,
};
use crate::limits::ENDPOINT_SUBSCRIPTION_TIMEOUT;
use crate::stream::{Stream, StreamError, SubscriptionRequest};
use bytes::Bytes;
use std::pin::pin;
use std::sync::atomic::Ordering;
use tokio::select;
use tokio::sync::mpsc::Permit;
use tokio::time::sleep;
use tonic::server::StreamingService;
use tonic::{Request, Status, Streaming};

/// Serves the call that opens one discovery stream.
pub(super) struct DiscoveryService {
    pub(super) context: ServerContext,
    pub(super) stream_number: u64,
    pub(super) method: DiscoveryMethod,
}

impl<R: Into<SubscriptionRequest> + Send + 'static> StreamingService<R> for DiscoveryService {
    type Response = Vec<Bytes>;
    type ResponseStream = ResponseStream;
    type Future = ResponseFuture;

    fn call(&mut self, request: Request<Streaming<R>>) -> ResponseFuture {
        let context = self.context.clone();
        let DiscoveryMethod { incremental, only_type } = self.method;
        let task = DiscoveryTask {
            stream: Stream::new(incremental, only_type, context.signer.clone()),
            stream_number: self.stream_number,
            incremental,
            context,
            is_idle: false,
        };
        spawn_stream(self.context.events.clone(), self.stream_number, async move |responses| {
            task.run(request.into_inner(), &responses).await
        })
    }
}

/// State of the task that serves one discovery stream.
struct DiscoveryTask {
    stream: Stream,
    stream_number: u64,
    incremental: bool,
    context: ServerContext,
    /// Set while there is nothing to send. Cleared by a request, a new snapshot, or the endpoint subscription timeout.
    is_idle: bool,
}

impl DiscoveryTask {
    async fn run<R: Into<SubscriptionRequest>>(
        mut self, mut requests: Streaming<R>, responses: &ResponseSender,
    ) -> Result<(), Status> {
        let Some(request) = first_request(&mut requests).await? else { return Ok(()) };
        self.on_request(request)?;
        let node_id = self.stream.node_id().unwrap_or_default().to_string();
        wait_for_admission(&self.context.events, self.stream_number, node_id, StreamKind::Discovery).await?;
        let mut endpoint_subscription_timeout = pin!(sleep(ENDPOINT_SUBSCRIPTION_TIMEOUT));
        let mut endpoint_subscription_timed_out = false;
        loop {
            self.report_events().await?;
            select! {
                // Requests are read first, so that a response takes into account all that have arrived.
                biased;
                request = requests.message() => {
                    let Some(request) = request? else { return Ok(()) };
                    self.on_request(request)?;
                }
                // The response is selected once the queue has capacity, so that its content is the newest.
                permit = responses.reserve(), if !self.is_idle => {
                    let Ok(permit) = permit else { return Ok(()) };
                    self.send_next_response(permit).await?;
                }
                changed = self.context.snapshots.changed() => {
                    changed.map_err(service_unavailable)?;
                    self.is_idle = false;
                }
                () = &mut endpoint_subscription_timeout, if !endpoint_subscription_timed_out => {
                    endpoint_subscription_timed_out = true;
                    self.is_idle = false;
                    self.stream.on_endpoint_subscription_timeout();
                }
            }
        }
    }

    fn on_request(&mut self, request: impl Into<SubscriptionRequest>) -> Result<(), Status> {
        self.stream.on_request(request.into()).map_err(|error| to_status(&error))?;
        self.is_idle = false;
        Ok(())
    }

    async fn report_events(&mut self) -> Result<(), Status> {
        let events = self.stream.take_events();
        if events.is_empty() {
            return Ok(());
        }
        let event = ServerEvent::StreamEvents { stream: self.stream_number, events };
        self.context.events.send(event).await.map_err(service_unavailable)
    }

    async fn send_next_response(&mut self, permit: Permit<'_, ResponseItem>) -> Result<(), Status> {
        let snapshot = self.context.snapshots.borrow_and_update().clone();
        let response = snapshot.and_then(|snapshot| self.stream.next_response(&snapshot));
        self.is_idle = response.is_none();
        let Some(response) = response else { return Ok(()) };
        if let Some(canary_shares) = response.canary_shares {
            // Reported before the response is sent, since the proxy may then use the shares immediately.
            let event = ServerEvent::RoutesSent { stream: self.stream_number, canary_shares };
            self.context.events.send(event).await.map_err(service_unavailable)?;
        }
        self.count_sent(&response.chunks);
        permit.send(Ok(response.chunks));
        Ok(())
    }

    fn count_sent(&self, chunks: &[Bytes]) {
        let counters = &self.context.counters;
        let length: usize = chunks.iter().map(Bytes::len).sum();
        let (messages, bytes) = if self.incremental {
            (&counters.incremental_responses, &counters.incremental_bytes)
        } else {
            (&counters.sotw_responses, &counters.sotw_bytes)
        };
        messages.fetch_add(1, Ordering::Relaxed);
        bytes.fetch_add(length as u64, Ordering::Relaxed);
    }
}

fn to_status(error: &StreamError) -> Status {
    if error.is_resource_exhausted() {
        Status::resource_exhausted(error.to_string())
    } else {
        Status::invalid_argument(error.to_string())
    }
}
