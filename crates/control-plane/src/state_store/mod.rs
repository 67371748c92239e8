//! Persists the state of the last publication as one record of an embedded database. Each write is one transaction.
//!
//! - `database`: the database file.
//! - [`record`]: the record and its encoding.
//! - [`writer`]: a thread that writes the newest state, so that a slow or full disk does not delay the event loop.
//!
//! If a store cannot be used, this is logged, and the service runs without persistence.

mod database;
pub mod record;
pub mod writer;

pub use database::StoreError;
pub use record::{PersistedState, RecordError, decode, encode};
pub use writer::StateWriter;

use std::path::Path;

/// The result of opening a store.
#[derive(Default)]
pub struct OpenedStore {
    /// Writes new states; `None` if no path is configured or the store cannot be used.
    pub writer: Option<StateWriter>,
    /// The last written state; `None` if the store is new or cannot be used.
    pub state: Option<PersistedState>,
}

/// Opens the store at a path, which is created if necessary, and reads the state in it. `None` disables persistence.
/// If the store cannot be used, the reason is logged and the result is empty.
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
