//! Handles requests: node id and features, ACK and NACK, and subscriptions.

use super::messages::{StreamError, StreamEvent, SubscriptionRequest};
use super::type_state::{AcknowledgedResource, PendingResponse};
use super::{INLINE_ENDPOINTS_FEATURE, Stream};
use crate::limits::{
    self, MAX_ERROR_URL_CHARS, MAX_INITIAL_VERSIONS, MAX_NODE_ID_BYTES, MAX_REJECTION_REASON_BYTES,
    MAX_RESOURCE_NAME_BYTES, MAX_SUBSCRIBED_NAMES,
};
use crate::resources::ResourceType;
use latchhaven_proxy_config::version::{
    ConfigVersion, LabelParts, ParsedPrefix, ReportedVersion, VersionSigner, split_label,
};
use std::collections::BTreeMap;

/// The response that the nonce of a request refers to.
enum NonceMatch {
    /// The request has no nonce.
    None,
    Latest,
    Earlier,
    /// No response of the stream has this nonce.
    Unknown,
}

impl Stream {
    /// Applies an ACK, a NACK or a change of the subscription.
    ///
    /// # Errors
    /// The request is invalid or exceeds a limit: the driver closes the stream with this error.
    pub fn on_request(&mut self, mut request: SubscriptionRequest) -> Result<(), StreamError> {
        if self.node_id.is_none() {
            self.read_node(&mut request)?;
        }
        let resource_type = self.requested_type(&request.type_url)?;
        check_limits(&request)?;
        let is_first = self.subscribed(resource_type).is_none();
        let nonce = self.match_nonce(resource_type, &request.nonce, is_first);
        match nonce {
            NonceMatch::Unknown => return self.on_unknown_nonce(),
            // On a state-of-the-world stream, a newer request with the complete subscription follows. On an incremental
            // stream, each change of the subscription is sent only once, so it is applied even if the nonce is
            // outdated.
            NonceMatch::Earlier if !self.incremental => return Ok(()),
            _ => {}
        }
        if is_first {
            self.record_initial_versions(resource_type, &request);
        }
        if matches!(nonce, NonceMatch::Latest) {
            self.resolve_pending(resource_type, request.error_detail.take());
        }
        self.update_type(resource_type, is_first, request)
    }

    fn read_node(&mut self, request: &mut SubscriptionRequest) -> Result<(), StreamError> {
        let node_id = request.node.take().filter(|node_id| !node_id.is_empty());
        let node_id = node_id.ok_or(StreamError::MissingNodeId)?;
        if node_id.len() > MAX_NODE_ID_BYTES {
            return Err(StreamError::NodeIdTooLong);
        }
        self.node_id = Some(node_id);
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
        Err(StreamError::UnsupportedType { url: type_url.chars().take(MAX_ERROR_URL_CHARS).collect() })
    }

    fn match_nonce(&self, resource_type: ResourceType, nonce: &str, is_first: bool) -> NonceMatch {
        if nonce.is_empty() {
            return NonceMatch::None;
        }
        if is_first {
            return NonceMatch::Unknown;
        }
        if self.types.get(&resource_type).is_some_and(|state| state.nonce == nonce) {
            return NonceMatch::Latest;
        }
        match nonce.parse::<u64>() {
            Ok(number) if number > 0 && number <= self.last_nonce => NonceMatch::Earlier,
            _ => NonceMatch::Unknown,
        }
    }

    /// Ignores the request, until too many requests on this stream had an unknown nonce.
    fn on_unknown_nonce(&mut self) -> Result<(), StreamError> {
        self.unknown_nonces += 1;
        if limits::has_too_many_unknown_nonces(self.unknown_nonces) {
            Err(StreamError::UnknownNonce)
        } else {
            Ok(())
        }
    }

    /// Records the proxy's resources from an earlier stream, so that no older ones are sent.
    fn record_initial_versions(&mut self, resource_type: ResourceType, request: &SubscriptionRequest) {
        let mut versions = LabelVersions::default();
        let mut acknowledged = Vec::new();
        for initial in &request.initial_versions {
            if let Some(hash) = versions.record(&initial.label, &self.signer) {
                acknowledged.push((initial.name.clone(), AcknowledgedResource { hash, resource: None }));
            }
        }
        // A state-of-the-world request has no label but that of the last acknowledged response.
        versions.record(&request.version_info, &self.signer);
        let newest = versions.newest();
        let state = self.types.entry(resource_type).or_default();
        state.minimum_version = newest;
        state.acknowledged.extend(acknowledged);
        // A signed version shows that a control service has seen this state of the platform. An unsigned one, which
        // anybody can write, only shows what this proxy has.
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

    /// Applies an ACK or, with an error message, a NACK.
    fn resolve_pending(&mut self, resource_type: ResourceType, error_detail: Option<String>) {
        let Some(state) = self.types.get_mut(&resource_type) else { return };
        let Some(pending) = state.pending.take() else { return };
        if let Some(message) = error_detail {
            self.on_nack(resource_type, &pending, message);
            return;
        }
        state.on_ack(pending.content);
        self.events.extend(pending.canary_shares.map(StreamEvent::Acknowledged));
    }

    fn on_nack(&mut self, resource_type: ResourceType, pending: &PendingResponse, message: String) {
        let Some(state) = self.types.get_mut(&resource_type) else { return };
        let is_repeated = state.on_nack(pending);
        if !is_repeated {
            let nonce = state.nonce.clone();
            let message = truncate(message, MAX_REJECTION_REASON_BYTES);
            self.events.push(StreamEvent::Rejected { resource_type, nonce, message });
        }
    }

    fn update_type(
        &mut self, resource_type: ResourceType, is_first: bool, request: SubscriptionRequest,
    ) -> Result<(), StreamError> {
        // The retained endpoints depend on the proxy's clusters, which this request may have acknowledged.
        self.types.entry(ResourceType::Endpoint).or_default().up_to_date_hash = None;
        let state = self.types.entry(resource_type).or_default();
        state.up_to_date_hash = None;
        state.is_subscribed = true;
        if self.incremental {
            return state.update_subscription(resource_type, is_first, request.names, request.unsubscribed);
        }
        state.replace_subscription(resource_type, is_first, request.names);
        Ok(())
    }
}

/// The versions in the labels of a request, by label prefix. Many labels have the same prefix; each prefix is parsed
/// once.
#[derive(Default)]
struct LabelVersions<'a> {
    /// `None` for an invalid prefix.
    by_prefix: BTreeMap<&'a str, Option<ParsedPrefix>>,
}

impl<'a> LabelVersions<'a> {
    /// Records the version in a label and returns the label's content hash. Returns `None` if the text is not a valid
    /// label; then no version is recorded.
    fn record(&mut self, label: &'a str, signer: &VersionSigner) -> Option<u64> {
        let LabelParts { prefix, content_hash } = split_label(label)?;
        let version = self.by_prefix.entry(prefix).or_insert_with(|| signer.parse_prefix(prefix));
        version.map(|_| content_hash)
    }

    /// Merges the versions of all valid labels. `None` if there is none.
    fn newest(&self) -> Option<ConfigVersion> {
        merge_versions(self.by_prefix.values().flatten())
    }

    /// Like [`Self::newest`], but ignores versions that are not signed with the control services' key.
    fn newest_signed(&self) -> Option<ConfigVersion> {
        merge_versions(self.by_prefix.values().flatten().filter(|prefix| prefix.is_signed))
    }
}

fn merge_versions<'a>(prefixes: impl Iterator<Item = &'a ParsedPrefix>) -> Option<ConfigVersion> {
    prefixes.map(|prefix| prefix.version).reduce(|newest, version| newest.merge(&version))
}

fn check_limits(request: &SubscriptionRequest) -> Result<(), StreamError> {
    let is_too_large = request.names.len() > MAX_SUBSCRIBED_NAMES
        || request.unsubscribed.len() > MAX_INITIAL_VERSIONS
        || request.initial_versions.len() > MAX_INITIAL_VERSIONS;
    if is_too_large {
        return Err(StreamError::RequestTooLarge);
    }
    let initial_names = request.initial_versions.iter().map(|initial| &initial.name);
    let mut names = request.names.iter().chain(&request.unsubscribed).chain(initial_names);
    if names.any(|name| name.len() > MAX_RESOURCE_NAME_BYTES) {
        return Err(StreamError::NameTooLong);
    }
    Ok(())
}

/// Truncates a text to at most `max_bytes`, at the last character boundary within them.
fn truncate(mut text: String, max_bytes: usize) -> String {
    text.truncate(text.floor_char_boundary(max_bytes));
    text
}
