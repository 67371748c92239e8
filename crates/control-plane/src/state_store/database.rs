//! The database file: one table with one record.

use super::record::{PersistedState, RecordError, decode, encode};
use redb::{Database, ReadableDatabase, TableDefinition};
use std::panic::catch_unwind;
use std::path::Path;

// Existing databases contain these names.
const TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("handed-out");
const RECORD_KEY: &str = "last";

/// Why a store cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The database panicked on a damaged file, or on a file of another format.
    #[error("the database panicked on the file")]
    Panicked,
    /// The database rejected the file, which may be in use by another process, or failed to read it.
    #[error(transparent)]
    Database(#[from] redb::Error),
    /// The record is malformed or has another schema.
    #[error(transparent)]
    Record(#[from] RecordError),
}

/// Opens or creates a database and reads the state in it. Panics are caught, because the database rejects most
/// damaged files but panics on some.
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

/// Replaces the record in one transaction, so that a crash leaves the previous or the new one.
pub(super) fn write_state(database: &Database, state: &PersistedState) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    transaction.open_table(TABLE)?.insert(RECORD_KEY, encode(state).as_slice())?;
    transaction.commit()?;
    Ok(())
}
