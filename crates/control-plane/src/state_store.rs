//! What was handed out last, on disk: one record in one transaction of an embedded store. Writing is done by a thread
//! of its own that always writes the newest, so that a slow or full disk stalls nobody. What cannot be read is told in
//! one line, and the service goes on without it.

use latchhaven_policy::Version;
use latchhaven_proxy_config::version::ConfigVersion;
use redb::{Database, ReadableDatabase, TableDefinition};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::panic::catch_unwind;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

const TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("handed-out");
const RECORD: &str = "last";
/// The form of the record; one from another version is told of and left alone.
const SCHEMA: u32 = 1;
/// Between two writes at least: bursts become one.
const APART: Duration = Duration::from_millis(200);

/// The record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedState {
    #[serde(rename = "basis")]
    pub version: ConfigVersion,
    #[serde(rename = "withdrawn")]
    pub rolled_back_versions: BTreeSet<Version>,
}

#[derive(Serialize, Deserialize)]
struct Record {
    schema: u32,
    #[serde(flatten)]
    kept: serde_json::Value,
}

/// The newest that is to be written, whether no more will come, and what wakes the thread.
type Shared = Arc<(Mutex<(Option<PersistedState>, bool)>, Condvar)>;

/// Writes what was handed out last.
pub struct StateWriter {
    newest: Shared,
}

/// Opens a store and reads what is in it. Without a store, or with one that cannot be used, there is no keeper.
pub fn open(path: Option<&Path>) -> (Option<StateWriter>, Option<PersistedState>) {
    let Some(path) = path else { return (None, None) };
    // A foreign or torn file is the store's to refuse; one that makes it panic is refused here.
    let opened = catch_unwind(|| read(path)).unwrap_or_else(|_| Err("it cannot be read".to_string()));
    match opened {
        Ok((store, kept)) => {
            tracing::info!(path = %path.display(), found = kept.is_some(), "state: open");
            (Some(StateWriter::start(store, path.to_path_buf())), kept)
        }
        Err(why) => {
            tracing::warn!(path = %path.display(), why, "state: not used, nothing is kept");
            (None, None)
        }
    }
}

fn read(path: &Path) -> Result<(Database, Option<PersistedState>), String> {
    let text = |fault: redb::Error| fault.to_string();
    let store = Database::create(path).map_err(|fault| text(fault.into()))?;
    let reading = store.begin_read().map_err(|fault| text(fault.into()))?;
    let kept = match reading.open_table(TABLE) {
        Err(redb::TableError::TableDoesNotExist(_)) => None,
        Err(fault) => return Err(text(fault.into())),
        Ok(table) => {
            let found = table.get(RECORD).map_err(|fault| text(fault.into()))?;
            found.map(|bytes| decode(bytes.value())).transpose()?
        }
    };
    drop(reading);
    Ok((store, kept))
}

/// Reads a record; another form is an error that says so.
pub fn decode(bytes: &[u8]) -> Result<PersistedState, String> {
    let record: Record = serde_json::from_slice(bytes).map_err(|fault| fault.to_string())?;
    if record.schema != SCHEMA {
        return Err(format!("its form is {}, this program writes {SCHEMA}", record.schema));
    }
    serde_json::from_value(record.kept).map_err(|fault| fault.to_string())
}

/// A record as it is written.
pub fn encode(kept: &PersistedState) -> Vec<u8> {
    let kept = serde_json::to_value(kept).unwrap_or_default();
    serde_json::to_vec(&Record { schema: SCHEMA, kept }).unwrap_or_default()
}

impl StateWriter {
    fn start(store: Database, path: PathBuf) -> Self {
        let newest = Arc::new((Mutex::new((None::<PersistedState>, false)), Condvar::new()));
        let (shared, mut failing, mut first) = (newest.clone(), false, true);
        thread::spawn(move || {
            loop {
                let (kept, over) = {
                    let (lock, told) = &*shared;
                    let mut held = lock.lock().unwrap_or_else(PoisonError::into_inner);
                    while held.0.is_none() && !held.1 {
                        held = told.wait(held).unwrap_or_else(PoisonError::into_inner);
                    }
                    (held.0.take(), held.1)
                };
                if let Some(kept) = kept {
                    let written = write(&store, &kept);
                    // Once, not with each try: a full disk would fill the log too.
                    if let Err(why) = &written
                        && !failing
                    {
                        tracing::warn!(path = %path.display(), %why, "state: cannot be written");
                    }
                    if first && written.is_ok() {
                        tracing::info!(path = %path.display(), "state: written");
                    }
                    (failing, first) = (written.is_err(), first && written.is_err());
                }
                if over {
                    return;
                }
                thread::sleep(APART);
            }
        });
        StateWriter { newest }
    }

    /// Has this kept, unless something newer comes before it is written. Returns at once.
    pub fn persist(&self, kept: PersistedState) {
        let (lock, told) = &*self.newest;
        lock.lock().unwrap_or_else(PoisonError::into_inner).0 = Some(kept);
        told.notify_one();
    }
}

impl Drop for StateWriter {
    fn drop(&mut self) {
        let (lock, told) = &*self.newest;
        lock.lock().unwrap_or_else(PoisonError::into_inner).1 = true;
        told.notify_one();
    }
}

fn write(store: &Database, kept: &PersistedState) -> Result<(), redb::Error> {
    let writing = store.begin_write()?;
    writing.open_table(TABLE)?.insert(RECORD, encode(kept).as_slice())?;
    writing.commit()?;
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use latchhaven_proxy_config::parts_per_million::PartsPerMillion;
    use latchhaven_proxy_config::version::{EndpointListVersion, RolloutStatus, RolloutVersion};

    fn kept(version: u64) -> PersistedState {
        let news = RolloutVersion {
            version: Version(7),
            status: RolloutStatus::RolledBack,
            stage: 1,
            traffic_cap: PartsPerMillion::ZERO,
            since: 5,
        };
        PersistedState {
            version: ConfigVersion { rollout: news, endpoints: EndpointListVersion { epoch: 0, version } },
            rolled_back_versions: BTreeSet::from([Version(6), Version(7)]),
        }
    }

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("latchhaven-keep-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        folder
    }

    #[test]
    fn the_newest_is_found_again_and_two_processes_do_not_share_a_store() {
        let folder = folder("again");
        let path = folder.join("state.redb");
        let (keeper, found) = open(Some(&path));
        assert!(found.is_none());
        let keeper = keeper.unwrap();
        (0..50).for_each(|version| keeper.persist(kept(version)));
        assert!(open(Some(&path)).0.is_none(), "a second one goes without");
        drop(keeper);
        let mut found = None;
        for _ in 0..1000 {
            let (keeper, read) = open(Some(&path));
            found = read;
            if keeper.is_some() {
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
        assert_eq!(found, Some(kept(49)));
        std::fs::remove_dir_all(folder).unwrap();
    }

    /// A file cut off or spoilt at any place is either read as it was, or not used: no crash and no mixture.
    #[test]
    fn a_torn_or_spoilt_file_is_the_last_state_or_none() {
        let folder = folder("torn");
        let path = folder.join("state.redb");
        let store = Database::create(&path).unwrap();
        write(&store, &kept(3)).unwrap();
        drop(store);
        let whole = std::fs::read(&path).unwrap();
        let hook = std::panic::take_hook();
        std::panic::set_hook(Box::new(|_| ()));
        for step in 0..24 {
            let at = step * whole.len() / 24;
            let mut flipped = whole.clone();
            flipped[at] ^= 0xff;
            for bytes in [whole[..at].to_vec(), flipped] {
                let path = folder.join(format!("torn-{step}.redb"));
                std::fs::write(&path, bytes).unwrap();
                let read = catch_unwind(|| read(&path)).unwrap_or_else(|_| Err("panic".to_string()));
                assert!(
                    read.is_err()
                        || matches!(&read, Ok((_, found)) if found.as_ref().is_none_or(|f| *f == kept(3)))
                );
            }
        }
        std::panic::set_hook(hook);
        assert!(decode(b"{\"schema\":2}").unwrap_err().contains("form is 2"));
        assert!(decode(&encode(&kept(3))[1..]).is_err());
        assert!(open(Some(&folder.join("no/such/folder/state.redb"))).0.is_none());
        std::fs::remove_dir_all(folder).unwrap();
    }
}
