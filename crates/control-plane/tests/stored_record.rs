//! The stored record remains readable: the bytes in this file were written by version 0.2.0, at commit 45d1a44.

use latchhaven_control_plane::state_store::{PersistedState, decode, encode, open};
use latchhaven_policy::Version;
use latchhaven_proxy_config::parts_per_million::PartsPerMillion;
use latchhaven_proxy_config::version::{ConfigVersion, EndpointListVersion, RolloutStatus, RolloutVersion};
use redb::{Database, TableDefinition};
use std::collections::BTreeSet;

const TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("handed-out");
const RECORD_KEY: &str = "last";

/// A record of each rollout status.
const STORED_RECORDS: [(RolloutStatus, &str); 5] = [
    (
        RolloutStatus::Canary,
        r#"{"schema":1,"basis":{"list":{"epoch":2,"version":41},"news":{"build":7,"cap":125000,"since":1733100000123,"stage":3,"way":"OnTrial"}},"withdrawn":[4,6]}"#,
    ),
    (
        RolloutStatus::Rejected,
        r#"{"schema":1,"basis":{"list":{"epoch":2,"version":41},"news":{"build":7,"cap":125000,"since":1733100000123,"stage":3,"way":"Condemned"}},"withdrawn":[4,6]}"#,
    ),
    (
        RolloutStatus::Promoted,
        r#"{"schema":1,"basis":{"list":{"epoch":2,"version":41},"news":{"build":7,"cap":125000,"since":1733100000123,"stage":3,"way":"Released"}},"withdrawn":[4,6]}"#,
    ),
    (
        RolloutStatus::RollingBack,
        r#"{"schema":1,"basis":{"list":{"epoch":2,"version":41},"news":{"build":7,"cap":125000,"since":1733100000123,"stage":3,"way":"GoingBack"}},"withdrawn":[4,6]}"#,
    ),
    (
        RolloutStatus::RolledBack,
        r#"{"schema":1,"basis":{"list":{"epoch":2,"version":41},"news":{"build":7,"cap":125000,"since":1733100000123,"stage":3,"way":"Withdrawn"}},"withdrawn":[4,6]}"#,
    ),
];

fn state(status: RolloutStatus) -> PersistedState {
    let rollout = RolloutVersion {
        version: Version(7),
        status,
        stage: 3,
        traffic_cap: PartsPerMillion::new(125_000),
        since: 1_733_100_000_123,
    };
    PersistedState {
        version: ConfigVersion { rollout, endpoints: EndpointListVersion { epoch: 2, version: 41 } },
        rolled_back_versions: BTreeSet::from([Version(4), Version(6)]),
    }
}

#[test]
fn record_of_version_0_2_0_is_decoded_and_encoded_unchanged() {
    for (status, stored) in STORED_RECORDS {
        assert_eq!(decode(stored.as_bytes()).unwrap(), state(status));
        assert_eq!(String::from_utf8(encode(&state(status))).unwrap(), stored);
    }
}

#[test]
fn database_of_version_0_2_0_is_opened_and_read() {
    let folder = std::env::temp_dir().join(format!("latchhaven-record-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("state.redb");
    let (status, stored) = STORED_RECORDS[4];
    let database = Database::create(&path).unwrap();
    let transaction = database.begin_write().unwrap();
    transaction.open_table(TABLE).unwrap().insert(RECORD_KEY, stored.as_bytes()).unwrap();
    transaction.commit().unwrap();
    drop(database);
    let opened = open(Some(&path));
    assert!(opened.writer.is_some());
    assert_eq!(opened.state, Some(state(status)));
    drop(opened.writer);
    std::fs::remove_dir_all(folder).unwrap();
}
