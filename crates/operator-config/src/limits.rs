//! Limits of a configuration file and of its evaluation, and defaults of optional keys.

pub(crate) const MAX_FILE_BYTES: u64 = 1 << 20;
/// Maximum number of calls and loop iterations in one file, which limits the time of its evaluation.
pub(crate) const MAX_STEPS: u64 = 1_000_000;
/// Maximum memory of all values of one file.
pub(crate) const MAX_HEAP_BYTES: usize = 64 << 20;
/// Maximum nesting depth of calls in a script.
pub(crate) const MAX_CALL_DEPTH: usize = 100;
/// Maximum nesting depth of loads.
pub(crate) const MAX_LOAD_DEPTH: usize = 8;
/// Maximum number of loads of one script in total, nested loads included; a file that is loaded several times is evaluated each time.
pub(crate) const MAX_LOADS: usize = 64;

/// Default of the key `streams_most`.
pub(crate) const DEFAULT_MAX_STREAMS: usize = 2000;
/// Default of the key `connect_within_ms`.
pub(crate) const DEFAULT_CONNECT_TIMEOUT_MS: u32 = 250;

/// Returns `true` if a file at nesting depth `depth`, 0 for the script itself, may not load another one. `load_count`
/// is the number of loads so far, this one included.
pub(crate) fn exceeds_load_limits(depth: usize, load_count: usize) -> bool {
    depth >= MAX_LOAD_DEPTH || load_count > MAX_LOADS
}
