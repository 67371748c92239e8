//! Persistence of the state that was published last: one record in one transaction of an embedded database.
//!
//! - `database`: the file with the record.
//! - [`record`]: the record and its encoding.
//! - [`writer`]: a thread that writes the newest state, so that a slow or full disk delays no decision.
//!
//! A store that cannot be used is logged once, and the service runs without persistence.

mod database;
pub mod record;
pub mod writer;

pub use database::StoreError;
pub use record::{PersistedState, RecordError, decode, encode};
pub use writer::StateWriter;

use std::path::Path;

/// An opened store; without a usable store there is neither writer nor state.
#[derive(Default)]
pub struct OpenedStore {
    /// Writes new states.
    pub writer: Option<StateWriter>,
    /// The last written state.
    pub state: Option<PersistedState>,
}

/// Opens a store and reads the state in it.
pub fn open(path: Option<&Path>) -> OpenedStore {
    let Some(path) = path else { return OpenedStore::default() };
    match database::open(path) {
        Ok((database, state)) => {
            tracing::info!(path = %path.display(), found = state.is_some(), "state store: opened");
            let writer = StateWriter::start(database, path.to_path_buf());
            OpenedStore { writer: Some(writer), state }
        }
        Err(error) => {
            tracing::warn!(path = %path.display(), reason = error.to_string(), "state store: unusable, nothing is persisted");
            OpenedStore::default()
        }
    }
}
