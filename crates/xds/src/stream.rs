//! One discovery stream of one proxy as a state machine without I/O.
//!
//! The driver passes requests in. When its queue has capacity, it polls the next response, so that a slow reader
//! receives the newest state instead of a queue of outdated responses. The state machine guarantees:
//!
//! - *Make before break*: routes are sent after the proxy has acknowledged (ACK) the clusters and endpoints that they
//!   reference; a cluster is removed after all routes that reference it were replaced.
//! - *No regression*: nothing is sent while any part of the snapshot is older than the proxy's resources.
//! - *One pending response for each type*: the next one follows the ACK or NACK. A rejected response (NACK) is not sent
//!   again while its content is the same.
//!
//! - `messages`: requests, responses, events and errors.
//! - `type_state`: the subscription and the proxy's resources of one type.
//! - `request_handling`: node id, ACK and NACK, and subscriptions.
//! - `dependencies`: references that delay a response, and resources that must not be removed yet.
//! - `response_selection`: the content of the next response.
//! - `response_encoding`: the bytes of the next response.

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

/// The client feature by which a proxy states that it does not support LEDS: its incremental streams receive endpoints
/// inline in EDS resources.
pub const INLINE_ENDPOINTS_FEATURE: &str = "latchhaven.whole_endpoints";

/// A discovery stream of one proxy, either state-of-the-world or incremental (delta), for one resource type or
/// aggregated (ADS).
pub struct Stream {
    incremental: bool,
    /// Endpoints are sent as LEDS resources, if the snapshot has them.
    separate_endpoints: bool,
    /// `None` on an aggregated stream, which carries all types.
    only_type: Option<ResourceType>,
    signer: VersionSigner,
    node_id: Option<String>,
    types: BTreeMap<ResourceType, TypeState>,
    /// Nonces count the responses of the stream, from 1; zero before the first response.
    last_nonce: u64,
    /// Number of requests with a nonce that no response has.
    unknown_nonces: u32,
    endpoint_subscription_timed_out: bool,
    events: Vec<StreamEvent>,
}

impl Stream {
    /// A stream before its first request. `incremental` selects the delta form of the protocol. `only_type` is the
    /// resource type of a stream of a single type, `None` for an aggregated stream. `signer` parses the version labels
    /// in requests.
    #[must_use]
    pub fn new(incremental: bool, only_type: Option<ResourceType>, signer: VersionSigner) -> Self {
        Stream {
            incremental,
            separate_endpoints: incremental,
            only_type,
            signer,
            node_id: None,
            types: BTreeMap::new(),
            last_nonce: 0,
            unknown_nonces: 0,
            endpoint_subscription_timed_out: false,
            events: Vec::new(),
        }
    }

    /// The proxy's node id; `None` before the first request, which states it.
    #[must_use]
    pub fn node_id(&self) -> Option<&str> {
        self.node_id.as_deref()
    }

    /// Removes and returns the events since the last call, in order.
    pub fn take_events(&mut self) -> Vec<StreamEvent> {
        std::mem::take(&mut self.events)
    }

    /// Called by the driver once `ENDPOINT_SUBSCRIPTION_TIMEOUT` has passed: clusters are no longer delayed until the
    /// proxy subscribes to its endpoints.
    pub fn on_endpoint_subscription_timeout(&mut self) {
        self.endpoint_subscription_timed_out = true;
    }

    /// Selects the next response and records it as pending until the proxy sends an ACK or NACK. Returns `None` if
    /// there is nothing to send, or if nothing may be sent yet. A driver that gets `None` calls again after the next
    /// request or snapshot.
    pub fn next_response(&mut self, snapshot: &ResourceSnapshot) -> Option<StreamResponse> {
        ResourceType::ALL
            .into_iter()
            .find_map(|resource_type| self.next_response_of_type(resource_type, snapshot))
    }

    /// The first subscribed type with a pending response, or with resources of the snapshot that the proxy has not
    /// acknowledged; `None` once the proxy has the complete snapshot.
    #[must_use]
    pub fn first_pending_type(&self, snapshot: &ResourceSnapshot) -> Option<ResourceType> {
        let is_behind = |resource_type: ResourceType, state: &TypeState| {
            let set = snapshot.resources(resource_type, self.separate_endpoints);
            state.pending.is_some() || !state.has_acknowledged_all(&set.resources)
        };
        let mut subscribed = self.types.iter().filter(|(_, state)| state.is_subscribed);
        subscribed
            .find(|(resource_type, state)| is_behind(**resource_type, state))
            .map(|(resource_type, _)| *resource_type)
    }

    /// `None` if the proxy has not requested the type on this stream.
    fn subscribed(&self, resource_type: ResourceType) -> Option<&TypeState> {
        self.types.get(&resource_type).filter(|state| state.is_subscribed)
    }
}
