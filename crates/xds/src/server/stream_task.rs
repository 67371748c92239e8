//! The task of a stream, its first request, and its admission, for discovery and load report streams.

use super::context::{ServerEvent, StreamKind};
use crate::limits::{ADMISSION_TIMEOUT, FIRST_REQUEST_TIMEOUT, MAX_QUEUED_RESPONSES};
use bytes::Bytes;
use std::future::Future;
use std::pin::Pin;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Response, Status, Streaming};

/// One encoded response in chunks, or the status with which the stream ends.
pub(super) type ResponseItem = Result<Vec<Bytes>, Status>;
pub(super) type ResponseSender = mpsc::Sender<ResponseItem>;
pub(super) type ResponseStream = ReceiverStream<ResponseItem>;
/// What a gRPC service returns when a stream begins; resolves to the responses of the stream.
pub(super) type ResponseFuture =
    Pin<Box<dyn Future<Output = Result<Response<ResponseStream>, Status>> + Send>>;

/// Runs `serve` on a new task, and reports the end of the stream when `serve` returns. An error of `serve` is the
/// status with which the stream ends.
pub(super) fn spawn_stream<F>(
    events: mpsc::Sender<ServerEvent>, stream: u64, serve: impl FnOnce(ResponseSender) -> F + Send + 'static,
) -> ResponseFuture
where
    F: Future<Output = Result<(), Status>> + Send + 'static,
{
    Box::pin(async move {
        let (responses, response_stream) = mpsc::channel(MAX_QUEUED_RESPONSES);
        tokio::spawn(async move {
            let result = serve(responses.clone()).await;
            // Sent before the status, which is delayed while the proxy does not read.
            let _ = events.send(ServerEvent::StreamClosed { stream }).await;
            if let Err(status) = result {
                let _ = responses.send(Err(status)).await;
            }
        });
        Ok(Response::new(ReceiverStream::new(response_stream)))
    })
}

/// Waits for the first request. Returns `None` if the proxy closed the stream without one.
pub(super) async fn first_request<R>(requests: &mut Streaming<R>) -> Result<Option<R>, Status> {
    match timeout(FIRST_REQUEST_TIMEOUT, requests.message()).await {
        Ok(request) => request,
        Err(_) => Err(Status::deadline_exceeded("timeout of the first request")),
    }
}

/// Reports a new stream and waits until it is admitted. An error is the status with which the stream ends: it was
/// rejected, or not admitted within [`ADMISSION_TIMEOUT`].
pub(super) async fn wait_for_admission(
    events: &mpsc::Sender<ServerEvent>, stream: u64, node_id: String, kind: StreamKind,
) -> Result<(), Status> {
    let (admitted, admission) = oneshot::channel();
    let opened = ServerEvent::StreamOpened { stream, node_id, kind, admitted };
    events.send(opened).await.map_err(service_unavailable)?;
    match timeout(ADMISSION_TIMEOUT, admission).await {
        Ok(admission) => admission.map_err(service_unavailable)?,
        Err(_) => {
            Err(Status::resource_exhausted("timeout of the admission: too many new streams, retry later"))
        }
    }
}

/// The status of a stream whose channels to the control plane are closed, because the process is shutting down.
pub(super) fn service_unavailable<E>(_: E) -> Status {
    Status::unavailable("the control service is shutting down")
}
