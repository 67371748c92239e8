//! How the successful responses of a server look: the length of their values, and bytes that follow late.

use crate::postgres::{READY_FOR_QUERY, error_response, row};
use std::time::Duration;

/// One value in so many is long.
const LONG_VALUE_ONE_IN: u64 = 12;
/// The longest value that the protocol allows.
const MAX_VALUE_BYTES: u64 = 65_536;
/// Late bytes follow after 1 ms, up to this many milliseconds.
const MAX_LATENESS_MS: u64 = 12;

/// How the successful responses of a server look.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseStyle {
    /// The values are those of [`value_of`] in place of the id alone.
    pub has_long_values: bool,
    /// One response in so many is followed by late bytes; 0 if none is. They are sent only if no byte of a further
    /// query has arrived by then.
    pub late_bytes_one_in: usize,
    /// Duplicates may end with a `ReadyForQuery` of their own.
    pub has_complete_duplicates: bool,
}

/// Bytes that belong to an earlier response, and when they are sent after it.
pub(crate) struct LateBytes {
    pub(crate) bytes: Vec<u8>,
    pub(crate) after: Duration,
}

impl ResponseStyle {
    pub(crate) fn value(&self, id: &str) -> String {
        if self.has_long_values { value_of(id) } else { id.to_string() }
    }

    /// The late bytes that follow the response with this number on its connection, to the query `id`.
    pub(crate) fn late_bytes(&self, number: usize, id: &str) -> Option<LateBytes> {
        if self.late_bytes_one_in == 0 || !number.is_multiple_of(self.late_bytes_one_in) {
            return None;
        }
        let hash = hash_of(id);
        let duplicate = row(self.value(id).as_bytes());
        let mut bytes = match hash % 4 {
            0 | 1 => duplicate,
            2 => error_response("53300"),
            _ => b"\xff\xfenoise".to_vec(),
        };
        if self.has_complete_duplicates && !hash.is_multiple_of(4) {
            bytes.extend(READY_FOR_QUERY);
        }
        Some(LateBytes { bytes, after: Duration::from_millis(1 + hash / 4 % MAX_LATENESS_MS) })
    }
}

/// The value of the response to a query: its id, followed by more of it if the value is long.
pub fn value_of(id: &str) -> String {
    let hash = hash_of(id);
    if !hash.is_multiple_of(LONG_VALUE_ONE_IN) {
        return id.to_string();
    }
    let length = (hash / LONG_VALUE_ONE_IN % MAX_VALUE_BYTES) as usize;
    let mut value = format!("{id}/").repeat(length / (id.len() + 1) + 1);
    value.truncate(length.max(id.len()));
    value
}

/// FNV-1a: the same for the same id in every process.
fn hash_of(id: &str) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    id.bytes().fold(0xcbf2_9ce4_8422_2325, mix) >> 8
}
