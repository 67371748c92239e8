//! Limits of a configuration file and of its evaluation, and the defaults of optional keys.

/// Bytes of one file.
pub(crate) const MAX_FILE_SIZE: u64 = 1 << 20;
/// Calls and loop iterations of one file: bounds the time of its evaluation.
pub(crate) const MAX_STEPS: u64 = 1_000_000;
/// Bytes of all values of one file.
pub(crate) const MAX_HEAP_SIZE: usize = 64 << 20;
/// Depth of nested calls.
pub(crate) const MAX_CALL_DEPTH: usize = 100;
/// Depth of files that load one another.
const MAX_LOAD_DEPTH: usize = 8;
/// Loads of one script in total; a file is evaluated for each `load` of it.
const MAX_LOADS: usize = 64;

/// The default of `streams_most`: streams of proxies, open or pending.
pub(crate) const DEFAULT_MAX_STREAMS: usize = 2000;
/// The default of `connect_within_ms`, in ms.
pub(crate) const DEFAULT_CONNECT_TIMEOUT_MS: u32 = 250;

/// True where a file at this depth may not load another one, as the number `load_count` of the script.
pub(crate) fn exceeds_load_limits(depth: usize, load_count: usize) -> bool {
    depth >= MAX_LOAD_DEPTH || load_count > MAX_LOADS
}
