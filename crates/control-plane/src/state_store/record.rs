//! The persisted record and its encoding as JSON.

use latchhaven_policy::Version;
use latchhaven_proxy_config::version::ConfigVersion;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The schema that is read and written. A record with another schema is neither used nor replaced.
const SCHEMA: u32 = 1;

/// The state from which a restarted service continues, so that nothing older is published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedState {
    /// The version of the last published configuration that was written. Writes are asynchronous and coalesced, so
    /// that later configurations may have been published; the labels that proxies report contain their versions.
    #[serde(rename = "basis")]
    pub version: ConfigVersion,
    /// Versions that were rolled back and that proxies must not use as a baseline.
    #[serde(rename = "withdrawn")]
    pub rolled_back_versions: BTreeSet<Version>,
}

#[derive(Serialize, Deserialize)]
struct Record {
    schema: u32,
    #[serde(flatten)]
    state: serde_json::Value,
}

/// Why a record cannot be decoded. The text is logged.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The record is not JSON, or a field is missing or invalid.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The record was written by a version of this program with another schema.
    #[error("record schema {found}; this program reads and writes {SCHEMA}")]
    UnknownSchema {
        /// The schema number in the record.
        found: u32,
    },
}

/// Decodes a record as [`encode`] returns it.
///
/// # Errors
/// The record is malformed or has another schema.
pub fn decode(bytes: &[u8]) -> Result<PersistedState, RecordError> {
    let record: Record = serde_json::from_slice(bytes)?;
    if record.schema != SCHEMA {
        return Err(RecordError::UnknownSchema { found: record.schema });
    }
    let state = serde_json::from_value(record.state)?;
    Ok(state)
}

/// Encodes a state as a record of the current schema, in JSON.
#[must_use]
pub fn encode(state: &PersistedState) -> Vec<u8> {
    let state = serde_json::to_value(state).unwrap_or_default();
    serde_json::to_vec(&Record { schema: SCHEMA, state }).unwrap_or_default()
}
