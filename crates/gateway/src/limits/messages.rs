//! Sizes of protocol messages, and bounds of the values in them. They bound memory, and detect a stream that is out of
//! step as early as possible.

use std::time::Duration;

/// Longest value of an item in bytes.
pub const MAX_VALUE_BYTES: usize = 65536;
/// Longest name, key, id or item in bytes.
pub const MAX_IDENTIFIER_BYTES: usize = 128;
/// The longest timeout that a client may give.
pub const MAX_REQUEST_TIMEOUT: Duration = Duration::from_secs(3600);
/// The shortest timeout that a client may give.
pub const MIN_REQUEST_TIMEOUT: Duration = Duration::from_millis(1);
/// Longest message of a client in bytes: a value in hex, and the rest of its statement.
pub const MAX_CLIENT_MESSAGE_BYTES: usize = 2 * MAX_VALUE_BYTES + 8192;
/// Longest row of an endpoint in bytes.
pub const MAX_ROW_BYTES: usize = 512 * 1024;
/// Longest other message of an endpoint in bytes.
pub const MAX_SMALL_MESSAGE_BYTES: usize = 8192;
/// Highest valid value in a load report.
pub const MAX_LOAD_VALUE: f64 = 1e6;
/// Longest head of an HTTP response, and longest line of its trailer, in bytes.
pub const MAX_HTTP_HEAD_BYTES: usize = 16 * 1024;
/// Longest line with the size of a chunk in bytes.
pub const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Most hexadecimal digits of a chunk's size.
pub const MAX_CHUNK_SIZE_DIGITS: usize = 8;
/// Longest buffered body or line of an HTTP response in bytes: some thousand endpoints.
pub const MAX_HTTP_BODY_BYTES: usize = 1024 * 1024;
/// Longest JSON object of a stream in bytes: some thousand endpoints.
pub const MAX_JSON_OBJECT_BYTES: usize = 1024 * 1024;
/// Deepest nesting of JSON objects and arrays; an endpoint list has three levels.
pub const MAX_JSON_DEPTH: usize = 16;
/// Chunks of input whose arrival times are distinguished; later ones count with the newest of these.
pub const MAX_ARRIVAL_CHUNKS: usize = 64;
