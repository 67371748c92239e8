//! The state store on disk: reopened stores, concurrent use by two processes, and damaged files.

use latchhaven_control_plane::state_store::{OpenedStore, PersistedState, decode, encode, open};
use latchhaven_policy::Version;
use latchhaven_proxy_config::parts_per_million::PartsPerMillion;
use latchhaven_proxy_config::version::{ConfigVersion, EndpointListVersion, RolloutStatus, RolloutVersion};
use redb::{Database, TableDefinition};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

const TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("handed-out");
const RECORD_KEY: &str = "last";
/// Number of offsets at which a file is truncated or damaged.
const DAMAGED_OFFSETS: usize = 24;

fn state(list_version: u64) -> PersistedState {
    let rollout = RolloutVersion {
        version: Version(7),
        status: RolloutStatus::RolledBack,
        stage: 1,
        traffic_cap: PartsPerMillion::ZERO,
        since: 5,
    };
    let endpoints = EndpointListVersion { epoch: 0, version: list_version };
    PersistedState {
        version: ConfigVersion { rollout, endpoints },
        rolled_back_versions: BTreeSet::from([Version(6), Version(7)]),
    }
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("latchhaven-state-store-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("the folder is created");
    folder
}

fn write_database(path: &Path, state: &PersistedState) {
    let database = Database::create(path).expect("the database is created");
    let transaction = database.begin_write().expect("a transaction begins");
    let mut table = transaction.open_table(TABLE).expect("the table opens");
    table.insert(RECORD_KEY, encode(state).as_slice()).expect("the record is inserted");
    drop(table);
    transaction.commit().expect("the transaction is committed");
}

/// Opens a store as soon as the thread of an earlier writer has closed it.
fn reopen(path: &Path) -> OpenedStore {
    for _ in 0..1000 {
        let opened = open(Some(path));
        if opened.writer.is_some() {
            return opened;
        }
        thread::sleep(Duration::from_millis(5));
    }
    OpenedStore::default()
}

#[test]
fn reopened_store_has_the_newest_state_and_is_not_shared_by_two_processes() {
    let folder = folder("reopened");
    let path = folder.join("state.redb");
    let opened = open(Some(&path));
    assert!(opened.state.is_none());
    let writer = opened.writer.unwrap();
    (0..50).for_each(|version| writer.persist(state(version)));
    assert!(open(Some(&path)).writer.is_none(), "a store that is in use cannot be opened");
    drop(writer);
    assert_eq!(reopen(&path).state, Some(state(49)));
    std::fs::remove_dir_all(folder).unwrap();
}

/// A damaged file must neither stop the service nor yield another state than the written one.
#[test]
fn store_with_a_truncated_or_damaged_file_yields_the_last_state_or_none() {
    let folder = folder("damaged");
    let path = folder.join("state.redb");
    write_database(&path, &state(3));
    let intact = std::fs::read(&path).unwrap();
    // The database panics on some damaged files; the store catches these panics.
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| ()));
    for step in 0..DAMAGED_OFFSETS {
        let offset = step * intact.len() / DAMAGED_OFFSETS;
        let mut flipped = intact.clone();
        flipped[offset] ^= 0xff;
        for (damage, bytes) in [("truncated", intact[..offset].to_vec()), ("flipped", flipped)] {
            // Each store has a file of its own, because the writer of an earlier store may still have its file open.
            let path = folder.join(format!("{damage}-{step}.redb"));
            std::fs::write(&path, bytes).unwrap();
            let opened = open(Some(&path));
            assert!(opened.state.as_ref().is_none_or(|found| *found == state(3)), "{damage} at {offset}");
            assert!(opened.writer.is_some() || opened.state.is_none(), "{damage} at {offset}");
        }
    }
    std::panic::set_hook(hook);
    assert!(decode(b"{\"schema\":2}").unwrap_err().to_string().contains("record schema 2;"));
    assert!(decode(&encode(&state(3))[1..]).is_err());
    assert!(open(Some(&folder.join("no/such/folder/state.redb"))).writer.is_none());
    std::fs::remove_dir_all(folder).unwrap();
}
