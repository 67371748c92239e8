//! Persistence of the state that was published last: one record in one transaction of an embedded database.
//!
//! - [`record`]: the record and its encoding.
//! - [`writer`]: a thread that always writes the newest state, so that a slow or full disk delays nobody.
//!
//! A store that cannot be used is logged once, and the service runs without persistence.

pub mod record;
pub mod writer;

pub use record::{PersistedState, RecordError, decode, encode};
pub use writer::StateWriter;

use redb::{Database, ReadableDatabase, TableDefinition};
use std::panic::catch_unwind;
use std::path::Path;

/// The table that holds the record.
const TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("handed-out");
/// The key of the record within [`TABLE`].
const RECORD_KEY: &str = "last";

/// Why a store cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The database panicked on a file that is not its own or is damaged.
    #[error("it cannot be read")]
    Panicked,
    /// The database refused the file or failed.
    #[error(transparent)]
    Database(#[from] redb::Error),
    /// The record cannot be decoded.
    #[error(transparent)]
    Record(#[from] RecordError),
}

/// A store that was opened; without a usable store there is neither writer nor state.
#[derive(Default)]
pub struct OpenedStore {
    /// Writes new states.
    pub writer: Option<StateWriter>,
    /// The state that was written last.
    pub state: Option<PersistedState>,
}

/// Opens a store and reads what is in it.
pub fn open(path: Option<&Path>) -> OpenedStore {
    let Some(path) = path else { return OpenedStore::default() };
    // The database refuses a foreign or torn file; one that makes it panic is refused here.
    let opened = catch_unwind(|| open_database(path)).unwrap_or(Err(StoreError::Panicked));
    match opened {
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

fn open_database(path: &Path) -> Result<(Database, Option<PersistedState>), StoreError> {
    let database = Database::create(path).map_err(redb::Error::from)?;
    let state = read_state(&database)?;
    Ok((database, state))
}

fn read_state(database: &Database) -> Result<Option<PersistedState>, StoreError> {
    let transaction = database.begin_read().map_err(redb::Error::from)?;
    let table = match transaction.open_table(TABLE) {
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(error) => return Err(redb::Error::from(error).into()),
        Ok(table) => table,
    };
    let record = table.get(RECORD_KEY).map_err(redb::Error::from)?;
    let state = record.map(|bytes| decode(bytes.value())).transpose()?;
    Ok(state)
}

fn write_state(database: &Database, state: &PersistedState) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    transaction.open_table(TABLE)?.insert(RECORD_KEY, encode(state).as_slice())?;
    transaction.commit()?;
    Ok(())
}
