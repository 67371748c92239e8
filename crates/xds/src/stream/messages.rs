//! Requests, responses, events and errors of a stream.

use crate::limits::{MAX_INITIAL_VERSIONS, MAX_NODE_ID_BYTES, MAX_RESOURCE_NAME_BYTES, MAX_SUBSCRIBED_NAMES};
use crate::pb::envoy::config::core::v3::Node;
use crate::pb::envoy::service::discovery::v3::{DeltaDiscoveryRequest, DiscoveryRequest};
use crate::resources::ResourceType;
use bytes::Bytes;
use latchhaven_proxy_config::published_shares::CanaryShares;
use latchhaven_proxy_config::version::ReportedVersion;

/// A discovery request of a state-of-the-world or an incremental (delta) stream.
#[derive(Clone, Debug, Default)]
pub struct SubscriptionRequest {
    /// The resource type. May be empty on a stream of a single type.
    pub type_url: String,
    /// The node id of the proxy. Required in the first request, ignored in later ones.
    pub node: Option<String>,
    /// The client features of the node; only those of the first request count.
    pub features: Vec<String>,
    /// State of the world: the complete subscription (`resource_names`). Incremental: names added to the subscription
    /// (`resource_names_subscribe`).
    pub names: Vec<String>,
    /// Incremental only: names removed from the subscription (`resource_names_unsubscribe`).
    pub unsubscribed: Vec<String>,
    /// The nonce of the response to which this request is the ACK or NACK. Empty in a request that is neither.
    pub nonce: String,
    /// State of the world only: the version label of the last acknowledged response. Not empty in the first request if
    /// an earlier stream delivered resources of the type.
    pub version_info: String,
    /// Incremental only, in the first request of a type: the proxy's resources from an earlier stream.
    pub initial_versions: Vec<InitialVersion>,
    /// Set in a NACK: why the proxy rejected the response with this nonce.
    pub error_detail: Option<String>,
}

/// A resource that a proxy has from an earlier stream (`initial_resource_versions`).
#[derive(Clone, Debug, PartialEq)]
pub struct InitialVersion {
    /// The resource name.
    pub name: String,
    /// The version label under which the proxy received the resource; not necessarily a label of this control plane.
    pub label: String,
}

fn node_id_and_features(node: Option<Node>) -> (Option<String>, Vec<String>) {
    match node {
        Some(node) => (Some(node.id), node.client_features),
        None => (None, Vec::new()),
    }
}

impl From<DiscoveryRequest> for SubscriptionRequest {
    fn from(request: DiscoveryRequest) -> SubscriptionRequest {
        let (node, features) = node_id_and_features(request.node);
        SubscriptionRequest {
            type_url: request.type_url,
            node,
            features,
            names: request.resource_names,
            nonce: request.response_nonce,
            version_info: request.version_info,
            error_detail: request.error_detail.map(|error| error.message),
            ..SubscriptionRequest::default()
        }
    }
}

impl From<DeltaDiscoveryRequest> for SubscriptionRequest {
    fn from(request: DeltaDiscoveryRequest) -> SubscriptionRequest {
        let (node, features) = node_id_and_features(request.node);
        let initial_versions = request.initial_resource_versions.into_iter();
        SubscriptionRequest {
            type_url: request.type_url,
            node,
            features,
            names: request.resource_names_subscribe,
            unsubscribed: request.resource_names_unsubscribe,
            nonce: request.response_nonce,
            initial_versions: initial_versions.map(|(name, label)| InitialVersion { name, label }).collect(),
            error_detail: request.error_detail.map(|error| error.message),
            ..SubscriptionRequest::default()
        }
    }
}

/// Why a stream is closed. The proxy receives the text in the gRPC status.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum StreamError {
    /// The first request has no node id, or an empty one.
    #[error("node.id: missing in the first request")]
    MissingNodeId,
    /// The first request has a node id of more than [`MAX_NODE_ID_BYTES`].
    #[error("node.id: longer than {} bytes", MAX_NODE_ID_BYTES)]
    NodeIdTooLong,
    /// The resource type is not served, or the stream does not carry it.
    #[error("type_url: '{url}' is not supported on this stream")]
    UnsupportedType {
        /// The requested type URL, truncated.
        url: String,
    },
    /// One request has too many names or initial versions.
    #[error(
        "more than {} subscribed names, or more than {} initial versions or unsubscribed names",
        MAX_SUBSCRIBED_NAMES,
        MAX_INITIAL_VERSIONS
    )]
    RequestTooLarge,
    /// The names of several incremental requests add up to too large a subscription of one type.
    #[error("more than {} subscribed names", MAX_SUBSCRIBED_NAMES)]
    SubscriptionTooLarge,
    /// A request has a resource name that is too long.
    #[error("resource name longer than {} bytes", MAX_RESOURCE_NAME_BYTES)]
    NameTooLong,
    /// Too many requests had a nonce that no response of this stream has.
    #[error("response_nonce: unknown on this stream")]
    UnknownNonce,
}

impl StreamError {
    /// Returns `true` if a limit was exceeded (gRPC status `RESOURCE_EXHAUSTED`), `false` if the request is invalid
    /// (`INVALID_ARGUMENT`).
    #[must_use]
    pub fn is_resource_exhausted(&self) -> bool {
        match self {
            StreamError::NodeIdTooLong
            | StreamError::RequestTooLarge
            | StreamError::SubscriptionTooLarge
            | StreamError::NameTooLong => true,
            StreamError::MissingNodeId | StreamError::UnsupportedType { .. } | StreamError::UnknownNonce => {
                false
            }
        }
    }
}

/// What the control plane is notified of from the proxy's requests.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamEvent {
    /// Reported at the first request of a type, if the proxy has resources from an earlier stream: one event for all
    /// versions, and one for the signed ones among them.
    VersionReported {
        /// The type of these resources.
        resource_type: ResourceType,
        /// The versions in their labels, merged: the newer of each part. The content hash is zero, since no single
        /// content is meant.
        version: ReportedVersion,
    },
    /// The proxy acknowledged (ACK) routes with these shares of the canary, or reconnected with the same routes.
    Acknowledged(CanaryShares),
    /// The proxy rejected (NACK) a response. Not reported again while the response of this type has the same content.
    Rejected {
        /// The type of the rejected response.
        resource_type: ResourceType,
        /// The nonce of the rejected response.
        nonce: String,
        /// The proxy's error message, truncated.
        message: String,
    },
}

/// An encoded response, ready to be sent.
#[derive(Clone, Debug)]
pub struct StreamResponse {
    /// The type of all resources in this response.
    pub resource_type: ResourceType,
    /// The encoded `DiscoveryResponse` or `DeltaDiscoveryResponse`, to be concatenated. Chunks of resources are shared
    /// with other streams.
    pub chunks: Vec<Bytes>,
    /// The share of the canary for each request class. Set if the response contains routes.
    pub canary_shares: Option<CanaryShares>,
}
