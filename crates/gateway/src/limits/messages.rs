//! Maximum sizes of protocol messages, and ranges of the values in them. These limits bound memory, and detect early
//! that a reader has lost the message boundaries of a stream.

use std::time::Duration;

/// Maximum length of an item's value.
pub const MAX_VALUE_BYTES: usize = 65536;
/// Maximum length of a name, a key, an id or the name of an item.
pub const MAX_IDENTIFIER_BYTES: usize = 128;
/// Maximum timeout that a client may set for a request.
pub const MAX_REQUEST_TIMEOUT: Duration = Duration::from_secs(3600);
/// Minimum timeout that a client may set for a request.
pub const MIN_REQUEST_TIMEOUT: Duration = Duration::from_millis(1);
/// Maximum length of a client's message: a value in hexadecimal digits, and 8 KiB for the rest of the statement.
pub const MAX_CLIENT_MESSAGE_BYTES: usize = 2 * MAX_VALUE_BYTES + 8192;
/// Maximum length of a message with a row from an endpoint.
pub const MAX_ROW_BYTES: usize = 512 * 1024;
/// Maximum length of an endpoint's message that contains no row.
pub const MAX_SMALL_MESSAGE_BYTES: usize = 8192;
/// Maximum valid value in a load report.
pub const MAX_LOAD_VALUE: f64 = 1e6;
/// Maximum length of the head of an HTTP response, and of each line of its trailer.
pub const MAX_HTTP_HEAD_BYTES: usize = 16 * 1024;
/// Maximum length of the line that gives the size of a chunk.
pub const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Maximum number of hexadecimal digits in the size of a chunk.
pub const MAX_CHUNK_SIZE_DIGITS: usize = 8;
/// Maximum length of a buffered body or line of an HTTP response. Sufficient for some thousand endpoints.
pub const MAX_HTTP_BODY_BYTES: usize = 1024 * 1024;
/// Maximum length of a JSON object in a stream. Sufficient for some thousand endpoints.
pub const MAX_JSON_OBJECT_BYTES: usize = 1024 * 1024;
/// Maximum nesting depth of JSON objects and arrays. An endpoint list has three levels.
pub const MAX_JSON_DEPTH: usize = 16;
/// Maximum number of chunks of buffered input with separate arrival times. Further input gets the arrival time of the
/// newest chunk.
pub const MAX_ARRIVAL_CHUNKS: usize = 64;
