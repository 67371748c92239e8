//! One xDS stream of one proxy as a state machine without I/O.
//!
//! The driver passes requests in, and polls the next response when its queue has capacity, so that a slow reader gets the
//! newest state instead of a queue. The state machine guarantees:
//!
//! - *Make before break*: routes are sent after the clusters and endpoints that they reference were accepted; a cluster
//!   is removed after all routes that reference it were replaced.
//! - *No regression*: nothing is sent while any part of the snapshot is older than the proxy's resources.
//! - *One pending response for each type*: a rejected response is not sent again while its content is the same.
//!
//! - `messages`: requests, responses, events and errors.
//! - `type_state`: the subscription and the proxy's resources of one type.
//! - `request_handling`: acknowledgements, rejections and subscriptions.
//! - `dependencies`: references that delay a response, and resources that must not be removed yet.
//! - `response_selection`: the content of the next response.
//! - `response_encoding`: its bytes.

mod dependencies;
mod messages;
mod request_handling;
mod response_encoding;
mod response_selection;
mod type_state;

pub use crate::limits::MAX_NODE_ID_BYTES;
pub use messages::{InitialVersion, StreamError, StreamEvent, StreamResponse, SubscriptionRequest};

use crate::resources::{ResourceSnapshot, ResourceType};
use latchhaven_proxy_config::version::VersionSigner;
use std::collections::BTreeMap;
use type_state::TypeState;

/// The client feature of a proxy without LEDS: its incremental streams get endpoints inline.
pub const INLINE_ENDPOINTS_FEATURE: &str = "latchhaven.whole_endpoints";

/// One stream.
pub struct Stream {
    incremental: bool,
    /// Endpoints are sent as resources of their own, if the configuration allows it.
    separate_endpoints: bool,
    /// The only type on this stream; none: an aggregated stream.
    only_type: Option<ResourceType>,
    signer: VersionSigner,
    node_id: Option<String>,
    types: BTreeMap<ResourceType, TypeState>,
    /// The number of responses; it is the nonce of the last one.
    responses: u64,
    /// The number of requests with a nonce that was never sent.
    unknown_nonces: u32,
    endpoint_subscription_timed_out: bool,
    events: Vec<StreamEvent>,
}

impl Stream {
    /// A stream before its first request; `only_type`: the only type on it.
    #[must_use]
    pub fn new(incremental: bool, only_type: Option<ResourceType>, signer: VersionSigner) -> Self {
        Stream {
            incremental,
            separate_endpoints: incremental,
            only_type,
            signer,
            node_id: None,
            types: BTreeMap::new(),
            responses: 0,
            unknown_nonces: 0,
            endpoint_subscription_timed_out: false,
            events: Vec::new(),
        }
    }

    /// The proxy's id, from the first request on.
    #[must_use]
    pub fn node_id(&self) -> Option<&str> {
        self.node_id.as_deref()
    }

    /// Events since the last call.
    pub fn take_events(&mut self) -> Vec<StreamEvent> {
        std::mem::take(&mut self.events)
    }

    /// Called by the driver once `ENDPOINT_SUBSCRIPTION_TIMEOUT` has passed: clusters are no longer delayed until the
    /// proxy subscribes to its endpoints.
    pub fn on_endpoint_subscription_timeout(&mut self) {
        self.endpoint_subscription_timed_out = true;
    }

    /// The next response, if one may be sent now.
    pub fn next_response(&mut self, snapshot: &ResourceSnapshot) -> Option<StreamResponse> {
        ResourceType::ALL
            .into_iter()
            .find_map(|resource_type| self.next_response_of_type(resource_type, snapshot))
    }

    /// The first type with a pending response, or with subscribed resources that differ from the snapshot's.
    #[must_use]
    pub fn first_pending_type(&self, snapshot: &ResourceSnapshot) -> Option<ResourceType> {
        let is_behind = |resource_type: ResourceType, state: &TypeState| {
            let set = snapshot.resources(resource_type, self.separate_endpoints);
            state.pending.is_some() || !state.has_accepted_all(&set.resources)
        };
        let mut subscribed = self.types.iter().filter(|(_, state)| state.is_subscribed);
        subscribed
            .find(|(resource_type, state)| is_behind(**resource_type, state))
            .map(|(resource_type, _)| *resource_type)
    }

    /// The state of a type that was subscribed to.
    fn subscribed(&self, resource_type: ResourceType) -> Option<&TypeState> {
        self.types.get(&resource_type).filter(|state| state.is_subscribed)
    }
}
