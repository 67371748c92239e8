//! One xDS stream of one proxy as a state machine without I/O.
//!
//! A driver passes requests in and asks for the next response whenever there is room for one, so that a slow reader
//! gets the newest state instead of a queue. The state machine guarantees:
//!
//! - *Make before break*: routes are sent once the clusters and endpoints that they reference were accepted; a cluster
//!   is removed once no route that the proxy may hold references it.
//! - *No regression*: nothing is sent while the snapshot is older, in any part, than what the proxy holds.
//! - *One pending response for each type*: a rejected one is not sent again while its content is the same.
//!
//! - `messages`: requests, responses, events and errors.
//! - `type_state`: subscription and held resources of one type.
//! - `request_handling`: what a request changes.
//! - `dependencies`: which references hold a response back, and which resources must stay.
//! - `response_selection`: what the next response contains.
//! - `response_encoding`: its bytes.

mod dependencies;
mod messages;
mod request_handling;
mod response_encoding;
mod response_selection;
mod type_state;

pub use messages::{InitialVersion, StreamError, StreamEvent, StreamResponse, SubscriptionRequest};

use crate::resources::{ResourceSnapshot, ResourceType};
use latchhaven_proxy_config::version::VersionSigner;
use std::collections::BTreeMap;
use type_state::TypeState;

/// The client feature of a proxy that does not know LEDS: its incremental streams get endpoints inline.
pub const INLINE_ENDPOINTS_FEATURE: &str = "latchhaven.whole_endpoints";
/// Bytes of a node's id at most.
pub const MAX_NODE_ID_LENGTH: usize = 256;

/// One stream.
pub struct Stream {
    incremental: bool,
    /// Endpoints are sent as resources of their own, if operators allow it.
    separate_endpoints: bool,
    /// The only type on this stream; none: an aggregated stream.
    only_type: Option<ResourceType>,
    signer: VersionSigner,
    node: Option<String>,
    types: BTreeMap<ResourceType, TypeState>,
    /// Responses so far; the last one's nonce is this number.
    responses: u64,
    /// Requests with a nonce that was never sent.
    unknown_nonces: u32,
    naming_grace_ended: bool,
    events: Vec<StreamEvent>,
}

impl Stream {
    /// A stream without requests yet; `only_type`: it carries this one type.
    pub fn new(incremental: bool, only_type: Option<ResourceType>, signer: VersionSigner) -> Self {
        Stream {
            incremental,
            separate_endpoints: incremental,
            only_type,
            signer,
            node: None,
            types: BTreeMap::new(),
            responses: 0,
            unknown_nonces: 0,
            naming_grace_ended: false,
            events: Vec::new(),
        }
    }

    /// The proxy's id, once its first request came.
    pub fn node(&self) -> Option<&str> {
        self.node.as_deref()
    }

    /// Events since the last call.
    pub fn take_events(&mut self) -> Vec<StreamEvent> {
        std::mem::take(&mut self.events)
    }

    /// The proxy has had time to name the resources it holds: clusters no longer wait for that.
    pub fn end_naming_grace(&mut self) {
        self.naming_grace_ended = true;
    }

    /// The next response, if one may be sent now.
    pub fn next_response(&mut self, snapshot: &ResourceSnapshot) -> Option<StreamResponse> {
        ResourceType::ALL
            .into_iter()
            .find_map(|resource_type| self.next_response_of_type(resource_type, snapshot))
    }

    /// The first type whose subscribed resources are not held as the snapshot has them, or are not known to be.
    pub fn first_pending_type(&self, snapshot: &ResourceSnapshot) -> Option<ResourceType> {
        let is_behind = |resource_type: ResourceType, state: &TypeState| {
            let set = snapshot.resources(resource_type, self.separate_endpoints);
            state.pending.is_some() || !state.holds_all_wanted(&set.resources)
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
