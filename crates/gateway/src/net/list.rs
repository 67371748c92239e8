//! Parses the endpoint list and its deltas, as the discovery service sends them.

use latchhaven_policy::{EndpointEntry, EndpointStatus, Version};
use serde::Deserialize;
use std::net::SocketAddr;

/// A snapshot of the endpoint list, or a delta to it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    /// The version of the list after this update.
    pub version: u64,
    /// `true` for a snapshot, which replaces the list; `false` for a delta, which only has entries that changed.
    pub is_snapshot: bool,
    /// Each entry with the address at which the gateway connects to the endpoint. A delta without entries confirms
    /// the current list.
    pub entries: Vec<(EndpointEntry, SocketAddr)>,
}

#[derive(Deserialize)]
struct ListMessage {
    #[serde(rename = "seq")]
    version: u64,
    #[serde(rename = "whole")]
    is_snapshot: bool,
    #[serde(rename = "hosts")]
    endpoints: Vec<EndpointMessage>,
}

#[derive(Deserialize)]
struct EndpointMessage {
    #[serde(rename = "host")]
    endpoint: String,
    #[serde(rename = "dial")]
    address: SocketAddr,
    #[serde(rename = "site", default)]
    zone: String,
    #[serde(rename = "class", default)]
    instance_type: String,
    #[serde(rename = "block", default)]
    cell: u32,
    #[serde(rename = "health")]
    status: EndpointHealth,
    #[serde(rename = "share", default = "default_weight")]
    weight: f64,
    /// Unix time in milliseconds.
    #[serde(rename = "born_ms", default)]
    started_at: f64,
    #[serde(rename = "release", default)]
    version: Version,
}

/// The weight of an endpoint whose message states none.
fn default_weight() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum EndpointHealth {
    #[serde(rename = "up")]
    Ready,
    Draining,
    Removed,
}

/// Why a list is invalid. The text names the invalid key.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// The text is not JSON, or a key is missing or has the wrong type.
    #[error(transparent)]
    Malformed(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// The list is followed by other data.
    #[error(transparent)]
    TrailingData(#[from] serde_json::Error),
    /// The endpoint at this index has an empty name, or a negative weight or start time.
    #[error("hosts[{0}]: expected a host that is not empty, share >= 0 and born_ms >= 0")]
    InvalidEndpoint(usize),
}

impl EndpointMessage {
    fn is_valid(&self) -> bool {
        !(self.endpoint.is_empty() || self.weight < 0.0 || self.started_at < 0.0)
    }

    fn into_entry(self) -> (EndpointEntry, SocketAddr) {
        let status = match self.status {
            EndpointHealth::Ready => EndpointStatus::Ready,
            EndpointHealth::Draining => EndpointStatus::Draining,
            EndpointHealth::Removed => EndpointStatus::Removed,
        };
        let entry = EndpointEntry {
            endpoint: self.endpoint,
            status,
            version: self.version,
            zone: self.zone,
            cell: self.cell,
            instance_type: self.instance_type,
            weight: self.weight,
            started_at: self.started_at,
        };
        (entry, self.address)
    }
}

/// Parses a snapshot or a delta, which must be complete: the body of the response to a fetch, or one object of a
/// watch.
///
/// # Errors
/// The text is not exactly one JSON object, or a value is invalid. Nothing of the update may be applied.
pub fn parse(text: &[u8]) -> Result<ListUpdate, ListError> {
    let mut reader = serde_json::Deserializer::from_slice(text);
    let message: ListMessage = serde_path_to_error::deserialize(&mut reader)?;
    reader.end()?;
    if let Some(position) = message.endpoints.iter().position(|endpoint| !endpoint.is_valid()) {
        return Err(ListError::InvalidEndpoint(position));
    }
    let entries = message.endpoints.into_iter().map(EndpointMessage::into_entry).collect();
    Ok(ListUpdate { version: message.version, is_snapshot: message.is_snapshot, entries })
}
