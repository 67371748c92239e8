//! Handles requests: the node's identity, acknowledgements and rejections, and subscriptions.

use super::messages::{StreamError, StreamEvent, SubscriptionRequest};
use super::type_state::{AcceptedResource, PendingResponse};
use super::{INLINE_ENDPOINTS_FEATURE, Stream};
use crate::limits::{
    self, MAX_INITIAL_RESOURCES, MAX_NAME_LENGTH, MAX_NODE_ID_LENGTH, MAX_REJECTION_LENGTH,
    MAX_SUBSCRIBED_NAMES,
};
use crate::resources::ResourceType;
use latchhaven_proxy_config::version::{
    ConfigVersion, LabelParts, ParsedPrefix, ReportedVersion, VersionSigner, split_label,
};
use std::collections::BTreeMap;

/// The response that the nonce of a request refers to.
enum Nonce {
    Absent,
    LatestResponse,
    EarlierResponse,
    Unknown,
}

impl Stream {
    /// Handles a request.
    ///
    /// # Errors
    /// The request is invalid or exceeds a limit: the stream ends with this error.
    pub fn on_request(&mut self, mut request: SubscriptionRequest) -> Result<(), StreamError> {
        if self.node.is_none() {
            self.identify(&mut request)?;
        }
        let resource_type = self.requested_type(&request.type_url)?;
        check_limits(&request)?;
        let is_first = self.subscribed(resource_type).is_none();
        let nonce = self.classify_nonce(resource_type, &request.nonce, is_first);
        match nonce {
            Nonce::Unknown => return self.on_unknown_nonce(),
            // In the full form a late request is ignored; in the incremental form it still changes the subscription.
            Nonce::EarlierResponse if !self.incremental => return Ok(()),
            _ => {}
        }
        if is_first {
            self.record_initial_versions(resource_type, &request);
        }
        if matches!(nonce, Nonce::LatestResponse) {
            self.conclude_pending(resource_type, request.error.take());
        }
        self.update_type(resource_type, is_first, request)
    }

    /// Reads the node's id and features from the first request.
    fn identify(&mut self, request: &mut SubscriptionRequest) -> Result<(), StreamError> {
        let node = request.node.take().filter(|node| !node.is_empty());
        let node = node.ok_or(StreamError::MissingNodeId)?;
        if node.len() > MAX_NODE_ID_LENGTH {
            return Err(StreamError::NodeIdTooLong);
        }
        self.node = Some(node);
        if request.features.iter().any(|feature| feature == INLINE_ENDPOINTS_FEATURE) {
            self.separate_endpoints = false;
        }
        Ok(())
    }

    fn requested_type(&self, type_url: &str) -> Result<ResourceType, StreamError> {
        match (ResourceType::from_url(type_url), self.only_type) {
            (Some(ResourceType::LbEndpoint), None) if !self.incremental => {}
            (Some(resource_type), None) => return Ok(resource_type),
            (Some(resource_type), Some(only_type)) if resource_type == only_type => return Ok(only_type),
            (None, Some(only_type)) if type_url.is_empty() => return Ok(only_type),
            _ => {}
        }
        Err(StreamError::UnsupportedType { url: type_url.chars().take(MAX_NODE_ID_LENGTH).collect() })
    }

    fn classify_nonce(&self, resource_type: ResourceType, nonce: &str, is_first: bool) -> Nonce {
        if nonce.is_empty() {
            return Nonce::Absent;
        }
        if is_first {
            return Nonce::Unknown;
        }
        if self.types.get(&resource_type).is_some_and(|state| state.nonce == nonce) {
            return Nonce::LatestResponse;
        }
        match nonce.parse::<u64>() {
            Ok(number) if number > 0 && number <= self.responses => Nonce::EarlierResponse,
            _ => Nonce::Unknown,
        }
    }

    /// Ignores the request unless there were too many of them.
    fn on_unknown_nonce(&mut self) -> Result<(), StreamError> {
        self.unknown_nonces += 1;
        if limits::has_too_many_unknown_nonces(self.unknown_nonces) {
            Err(StreamError::UnknownNonce)
        } else {
            Ok(())
        }
    }

    /// Records the proxy's resources from an earlier stream: nothing older is sent to it.
    fn record_initial_versions(&mut self, resource_type: ResourceType, request: &SubscriptionRequest) {
        let mut versions = InitialVersions::default();
        let mut accepted = Vec::new();
        for initial in &request.initial_versions {
            if let Some(hash) = versions.record(&initial.label, &self.signer) {
                accepted.push((initial.name.clone(), AcceptedResource { hash, resource: None }));
            }
        }
        // The label of the last accepted response counts as well.
        versions.record(&request.version, &self.signer);
        let newest = versions.newest();
        let state = self.types.entry(resource_type).or_default();
        state.minimum_version = newest;
        state.accepted.extend(accepted);
        // Signed versions are evidence of the platform's state, unsigned ones only of this proxy's resources.
        self.report_version(resource_type, newest, false);
        self.report_version(resource_type, versions.newest_signed(), true);
    }

    fn report_version(
        &mut self, resource_type: ResourceType, version: Option<ConfigVersion>, is_signed: bool,
    ) {
        let Some(version) = version else { return };
        let version = ReportedVersion { version, content_hash: 0, is_signed };
        self.events.push(StreamEvent::VersionReported { resource_type, version });
    }

    /// The pending response was accepted, or rejected with this error.
    fn conclude_pending(&mut self, resource_type: ResourceType, error: Option<String>) {
        let Some(state) = self.types.get_mut(&resource_type) else { return };
        let Some(pending) = state.pending.take() else { return };
        if let Some(message) = error {
            self.reject_pending(resource_type, &pending, message);
            return;
        }
        state.on_accepted(pending.content);
        self.events.extend(pending.canary_shares.map(StreamEvent::Acknowledged));
    }

    fn reject_pending(&mut self, resource_type: ResourceType, pending: &PendingResponse, message: String) {
        let Some(state) = self.types.get_mut(&resource_type) else { return };
        let is_repeated = state.on_rejected(pending);
        if !is_repeated {
            let nonce = state.nonce.clone();
            let message = truncate(message, MAX_REJECTION_LENGTH);
            self.events.push(StreamEvent::Rejected { resource_type, nonce, message });
        }
    }

    fn update_type(
        &mut self, resource_type: ResourceType, is_first: bool, request: SubscriptionRequest,
    ) -> Result<(), StreamError> {
        // The retained endpoints depend on the proxy's clusters.
        self.types.entry(ResourceType::Endpoint).or_default().up_to_date_with = None;
        let state = self.types.entry(resource_type).or_default();
        state.up_to_date_with = None;
        state.is_subscribed = true;
        if self.incremental {
            return state.update_subscription(resource_type, is_first, request.names, request.unsubscribed);
        }
        state.replace_subscription(resource_type, is_first, request.names);
        Ok(())
    }
}

/// The versions in the labels of a request. Many labels have the same prefix; each prefix is parsed once.
#[derive(Default)]
struct InitialVersions<'a> {
    by_prefix: BTreeMap<&'a str, Option<ParsedPrefix>>,
}

impl<'a> InitialVersions<'a> {
    /// Parses a label. Returns its content hash; none if the text is not a label.
    fn record(&mut self, label: &'a str, signer: &VersionSigner) -> Option<u64> {
        let LabelParts { prefix, content_hash } = split_label(label)?;
        let version = self.by_prefix.entry(prefix).or_insert_with(|| signer.parse_prefix(prefix));
        version.map(|_| content_hash)
    }

    /// The join of all versions.
    fn newest(&self) -> Option<ConfigVersion> {
        join(self.by_prefix.values().flatten())
    }

    /// The join of all versions signed with the control services' key.
    fn newest_signed(&self) -> Option<ConfigVersion> {
        join(self.by_prefix.values().flatten().filter(|prefix| prefix.is_signed))
    }
}

fn join<'a>(prefixes: impl Iterator<Item = &'a ParsedPrefix>) -> Option<ConfigVersion> {
    prefixes.map(|prefix| prefix.version).reduce(|newest, version| newest.merge(&version))
}

fn check_limits(request: &SubscriptionRequest) -> Result<(), StreamError> {
    let is_too_large = request.names.len() > MAX_SUBSCRIBED_NAMES
        || request.unsubscribed.len() > MAX_INITIAL_RESOURCES
        || request.initial_versions.len() > MAX_INITIAL_RESOURCES;
    if is_too_large {
        return Err(StreamError::RequestTooLarge);
    }
    let initial_names = request.initial_versions.iter().map(|initial| &initial.name);
    let mut names = request.names.iter().chain(&request.unsubscribed).chain(initial_names);
    if names.any(|name| name.len() > MAX_NAME_LENGTH) {
        return Err(StreamError::NameTooLong);
    }
    Ok(())
}

/// Truncates a text to at most `max_length` bytes, at a character boundary.
fn truncate(mut text: String, max_length: usize) -> String {
    text.truncate(text.floor_char_boundary(max_length));
    text
}
