//! The persisted record and its encoding as JSON.

use latchhaven_policy::Version;
use latchhaven_proxy_config::version::ConfigVersion;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The schema of the record; a record with another schema is neither used nor replaced.
const SCHEMA: u32 = 1;

/// The state that a restarted service continues from: it publishes nothing older.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedState {
    /// The version of the last published configuration, as last written: writes are asynchronous and coalesced, and
    /// the labels that proxies report cover those after it.
    #[serde(rename = "basis")]
    pub version: ConfigVersion,
    /// Versions that were rolled back.
    #[serde(rename = "withdrawn")]
    pub rolled_back_versions: BTreeSet<Version>,
}

#[derive(Serialize, Deserialize)]
struct Record {
    schema: u32,
    #[serde(flatten)]
    state: serde_json::Value,
}

/// Why a record cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// It is not JSON, or a field is missing or invalid.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// It was written by a version of this program with another schema.
    #[error("record schema {found}; this program reads and writes {SCHEMA}")]
    UnknownSchema {
        /// The schema of the record.
        found: u32,
    },
}

/// Decodes a record.
///
/// # Errors
/// A record that is malformed or has another schema.
pub fn decode(bytes: &[u8]) -> Result<PersistedState, RecordError> {
    let record: Record = serde_json::from_slice(bytes)?;
    if record.schema != SCHEMA {
        return Err(RecordError::UnknownSchema { found: record.schema });
    }
    let state = serde_json::from_value(record.state)?;
    Ok(state)
}

/// Encodes a record as it is written.
#[must_use]
pub fn encode(state: &PersistedState) -> Vec<u8> {
    let state = serde_json::to_value(state).unwrap_or_default();
    serde_json::to_vec(&Record { schema: SCHEMA, state }).unwrap_or_default()
}
