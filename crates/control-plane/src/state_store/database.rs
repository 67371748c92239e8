//! The database file: one table with one record.

use super::record::{PersistedState, RecordError, decode, encode};
use redb::{Database, ReadableDatabase, TableDefinition};
use std::panic::catch_unwind;
use std::path::Path;

/// The table with the record.
const TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("handed-out");
/// The key of the record within [`TABLE`].
const RECORD_KEY: &str = "last";

/// Why a store cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The database panicked on a foreign or damaged file.
    #[error("the database panicked on the file")]
    Panicked,
    /// The database rejected the file or failed.
    #[error(transparent)]
    Database(#[from] redb::Error),
    /// The record cannot be decoded.
    #[error(transparent)]
    Record(#[from] RecordError),
}

/// Opens or creates a database and reads the state in it. The database rejects most damaged files, and panics on
/// some.
pub(super) fn open(path: &Path) -> Result<(Database, Option<PersistedState>), StoreError> {
    catch_unwind(|| open_or_create(path)).unwrap_or(Err(StoreError::Panicked))
}

fn open_or_create(path: &Path) -> Result<(Database, Option<PersistedState>), StoreError> {
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

/// Writes a state in one transaction.
pub(super) fn write_state(database: &Database, state: &PersistedState) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    transaction.open_table(TABLE)?.insert(RECORD_KEY, encode(state).as_slice())?;
    transaction.commit()?;
    Ok(())
}
