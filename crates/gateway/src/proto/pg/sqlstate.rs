//! SQLSTATE codes that the gateway sends to clients, or recognizes in errors of endpoints.

/// `too_many_connections`: the query was not executed, and a retry is safe.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
/// `duplicate_object`: the request's id is already used by a pending request.
pub const DUPLICATE_OBJECT: &str = "42710";
/// `cannot_connect_now`: the endpoint is starting or shutting down, and did not execute the query.
pub const CANNOT_CONNECT_NOW: &str = "57P03";
/// `protocol_violation`: the client's input cannot be parsed or did not arrive in time; the connection is closed.
pub const PROTOCOL_VIOLATION: &str = "08P01";
/// `syntax_error`: the text of a query is not a supported statement.
pub const SYNTAX_ERROR: &str = "42601";
/// `feature_not_supported`: the client used the extended query protocol.
pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
/// `internal_error`: the request failed, and may have been executed.
pub const INTERNAL_ERROR: &str = "XX000";
