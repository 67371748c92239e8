//! The endpoint list and the form in which the discovery service sends it.

use latchhaven_policy::{EndpointEntry, EndpointStatus, Version};
use serde::Deserialize;
use std::net::SocketAddr;

/// The endpoint list or a delta to it, with the address of each endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    /// Its version.
    pub version: u64,
    /// It is a snapshot of all endpoints and not a delta.
    pub is_snapshot: bool,
    /// The entries with their addresses.
    pub entries: Vec<(EndpointEntry, SocketAddr)>,
}

/// A list as it is sent.
#[derive(Deserialize)]
struct ListMessage {
    #[serde(rename = "seq")]
    version: u64,
    #[serde(rename = "whole")]
    is_snapshot: bool,
    #[serde(rename = "hosts")]
    endpoints: Vec<EndpointMessage>,
}

/// An endpoint as it is sent.
#[derive(Deserialize)]
struct EndpointMessage {
    #[serde(rename = "host")]
    endpoint: String,
    #[serde(rename = "dial")]
    address: SocketAddr,
    #[serde(rename = "site", default)]
    zone: String,
    #[serde(rename = "class", default)]
    hardware: String,
    #[serde(rename = "block", default)]
    cell: u32,
    #[serde(rename = "health")]
    status: EndpointHealth,
    #[serde(rename = "share", default = "default_weight")]
    weight: f64,
    /// Unix time in ms.
    #[serde(rename = "born_ms", default)]
    started_at: f64,
    #[serde(rename = "release", default)]
    version: Version,
}

/// The weight of an endpoint that gives none.
fn default_weight() -> f64 {
    1.0
}

/// The status of an endpoint as it is sent.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum EndpointHealth {
    #[serde(rename = "up")]
    Ready,
    Draining,
    Removed,
}

/// Why a list cannot be read; the text names the faulty key.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// It is not JSON, or a key is missing or invalid.
    #[error(transparent)]
    Malformed(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// There is data after it.
    #[error(transparent)]
    TrailingData(#[from] serde_json::Error),
    /// The endpoint at this position has no name, or a negative weight or start time.
    #[error("hosts[{0}]: no name, or share or born_ms below 0")]
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
            instance_type: self.hardware,
            weight: self.weight,
            started_at: self.started_at,
        };
        (entry, self.address)
    }
}

/// Reads a list.
///
/// # Errors
/// The list is malformed or has invalid values.
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
