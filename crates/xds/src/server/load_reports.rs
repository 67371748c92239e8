//! Load report streams (LRS).

use super::context::{ServerContext, ServerEvent, StreamKind};
use super::stream_task::{
    ResponseFuture, ResponseSender, ResponseStream, first_request, service_unavailable, spawn_stream,
    wait_for_admission,
};
use crate::limits::{LOAD_REPORT_INTERVAL, MAX_NODE_ID_BYTES};
use crate::load_stats::parse_load_report;
use crate::pb::envoy::service::load_stats::v3::{LoadStatsRequest, LoadStatsResponse};
use crate::pb::google::protobuf::Duration;
use bytes::Bytes;
use prost::Message;
use tokio::sync::oneshot;
use tonic::server::StreamingService;
use tonic::{Request, Status, Streaming};

/// Serves the call that opens one load report stream.
pub(super) struct LoadReportingService {
    pub(super) context: ServerContext,
    pub(super) stream_number: u64,
}

impl StreamingService<LoadStatsRequest> for LoadReportingService {
    type Response = Vec<Bytes>;
    type ResponseStream = ResponseStream;
    type Future = ResponseFuture;

    fn call(&mut self, request: Request<Streaming<LoadStatsRequest>>) -> ResponseFuture {
        let context = self.context.clone();
        let stream_number = self.stream_number;
        spawn_stream(self.context.events.clone(), stream_number, async move |responses| {
            receive_reports(request.into_inner(), stream_number, &context, &responses).await
        })
    }
}

async fn receive_reports(
    mut requests: Streaming<LoadStatsRequest>, stream: u64, context: &ServerContext,
    responses: &ResponseSender,
) -> Result<(), Status> {
    let Some(first) = first_request(&mut requests).await? else { return Ok(()) };
    let node_id = first.node.map(|node| node.id).unwrap_or_default();
    if node_id.is_empty() || node_id.len() > MAX_NODE_ID_BYTES {
        return Err(Status::invalid_argument("node.id: missing or too long"));
    }
    wait_for_admission(&context.events, stream, node_id, StreamKind::LoadReport).await?;
    if responses.send(Ok(vec![reporting_instructions()])).await.is_err() {
        return Ok(());
    }
    while let Some(request) = requests.message().await? {
        process_report(&request, stream, context).await?;
    }
    Ok(())
}

/// The only response of the stream. Requests reports of all clusters, with counts of each endpoint, once in each
/// [`LOAD_REPORT_INTERVAL`].
fn reporting_instructions() -> Bytes {
    let interval = Duration { seconds: LOAD_REPORT_INTERVAL.as_secs().cast_signed(), nanos: 0 };
    let instructions = LoadStatsResponse {
        send_all_clusters: true,
        load_reporting_interval: Some(interval),
        report_endpoint_granularity: true,
        ..LoadStatsResponse::default()
    };
    Bytes::from(instructions.encode_to_vec())
}

async fn process_report(
    request: &LoadStatsRequest, stream: u64, context: &ServerContext,
) -> Result<(), Status> {
    let report = parse_load_report(request, &context.class_names)
        .map_err(|error| Status::invalid_argument(error.to_string()))?;
    let (result, validation) = oneshot::channel();
    let event = ServerEvent::LoadReport { stream, report, result };
    context.events.send(event).await.map_err(service_unavailable)?;
    let validation = validation.await.map_err(service_unavailable)?;
    validation.map_err(|rejection| Status::invalid_argument(rejection.to_string()))
}
