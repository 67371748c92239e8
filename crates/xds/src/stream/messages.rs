//! Requests, responses, events and errors of a stream.

use crate::limits::{MAX_INITIAL_RESOURCES, MAX_NAME_LENGTH, MAX_NODE_ID_LENGTH, MAX_SUBSCRIBED_NAMES};
use crate::pb::envoy::config::core::v3::Node;
use crate::pb::envoy::service::discovery::v3::{DeltaDiscoveryRequest, DiscoveryRequest};
use crate::resources::ResourceType;
use bytes::Bytes;
use latchhaven_proxy_config::published_shares::CanaryShares;
use latchhaven_proxy_config::version::ReportedVersion;

/// A discovery request in either form of the protocol.
#[derive(Clone, Debug, Default)]
pub struct SubscriptionRequest {
    /// The type URL; may be empty where the stream carries one type.
    pub type_url: String,
    /// The proxy's id, if the request has one.
    pub node: Option<String>,
    /// The proxy's client features.
    pub features: Vec<String>,
    /// All names of the type; incremental: those added.
    pub names: Vec<String>,
    /// Incremental: names that are no longer subscribed to.
    pub unsubscribed: Vec<String>,
    /// The nonce of the response that this request accepts or rejects; empty: none.
    pub nonce: String,
    /// The version label of the last accepted response.
    pub version: String,
    /// Incremental: the proxy's resources from an earlier stream.
    pub initial_versions: Vec<InitialVersion>,
    /// Why the proxy rejected the response with this nonce.
    pub error: Option<String>,
}

/// A resource of a proxy from an earlier stream.
#[derive(Clone, Debug, PartialEq)]
pub struct InitialVersion {
    /// The name of the resource.
    pub name: String,
    /// Its version label.
    pub label: String,
}

/// A node's id and its client features.
fn node_identity(node: Option<Node>) -> (Option<String>, Vec<String>) {
    match node {
        Some(node) => (Some(node.id), node.client_features),
        None => (None, Vec::new()),
    }
}

impl From<DiscoveryRequest> for SubscriptionRequest {
    fn from(request: DiscoveryRequest) -> SubscriptionRequest {
        let (node, features) = node_identity(request.node);
        SubscriptionRequest {
            type_url: request.type_url,
            node,
            features,
            names: request.resource_names,
            nonce: request.response_nonce,
            version: request.version_info,
            error: request.error_detail.map(|error| error.message),
            ..SubscriptionRequest::default()
        }
    }
}

impl From<DeltaDiscoveryRequest> for SubscriptionRequest {
    fn from(request: DeltaDiscoveryRequest) -> SubscriptionRequest {
        let (node, features) = node_identity(request.node);
        let initial_versions = request.initial_resource_versions.into_iter();
        SubscriptionRequest {
            type_url: request.type_url,
            node,
            features,
            names: request.resource_names_subscribe,
            unsubscribed: request.resource_names_unsubscribe,
            nonce: request.response_nonce,
            initial_versions: initial_versions.map(|(name, label)| InitialVersion { name, label }).collect(),
            error: request.error_detail.map(|error| error.message),
            ..SubscriptionRequest::default()
        }
    }
}

/// Why a stream ends. The texts reach the proxy.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum StreamError {
    /// The first request has no node id.
    #[error("node.id: missing in the first request")]
    MissingNodeId,
    /// The node id is too long.
    #[error("node.id: longer than {} bytes", MAX_NODE_ID_LENGTH)]
    NodeIdTooLong,
    /// The type is unknown, or not carried on this stream.
    #[error("type_url: '{url}' is not supported on this stream")]
    UnsupportedType {
        /// The beginning of the type URL.
        url: String,
    },
    /// One request names too many resources.
    #[error(
        "more than {} subscribed names, or more than {} initial versions or unsubscribed names",
        MAX_SUBSCRIBED_NAMES,
        MAX_INITIAL_RESOURCES
    )]
    RequestTooLarge,
    /// The subscription has grown too large.
    #[error("more than {} subscribed names", MAX_SUBSCRIBED_NAMES)]
    SubscriptionTooLarge,
    /// A resource name is too long.
    #[error("resource name longer than {} bytes", MAX_NAME_LENGTH)]
    NameTooLong,
    /// Too many requests had a nonce that was never sent.
    #[error("response_nonce: unknown on this stream")]
    UnknownNonce,
}

impl StreamError {
    /// True where a limit was exceeded; false where the request is invalid.
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

/// What a stream reports to the control plane.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamEvent {
    /// The proxy has resources of this type from an earlier stream.
    VersionReported {
        /// The type of the resources.
        resource_type: ResourceType,
        /// The join of their versions.
        version: ReportedVersion,
    },
    /// The proxy accepted routes with these shares of the canary.
    Acknowledged(CanaryShares),
    /// The proxy rejected (NACK) a content for the first time.
    Rejected {
        /// The type of the response.
        resource_type: ResourceType,
        /// The nonce of the response.
        nonce: String,
        /// The proxy's reason, shortened.
        message: String,
    },
}

/// One response.
#[derive(Clone, Debug)]
pub struct StreamResponse {
    /// The type of its resources.
    pub resource_type: ResourceType,
    /// The encoded message in chunks; some are shared with other streams.
    pub chunks: Vec<Bytes>,
    /// The shares of the canary, if the response contains routes.
    pub canary_shares: Option<CanaryShares>,
}
