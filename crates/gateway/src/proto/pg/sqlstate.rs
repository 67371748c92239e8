//! SQLSTATE codes that are sent or understood.

/// `too_many_connections`: not executed, a retry is harmless.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
/// `duplicate_object`: the id is that of an open request.
pub const DUPLICATE_OBJECT: &str = "42710";
/// `cannot_connect_now`: the endpoint is starting or stopping.
pub const CANNOT_CONNECT_NOW: &str = "57P03";
/// `protocol_violation`.
pub const PROTOCOL_VIOLATION: &str = "08P01";
/// `syntax_error`.
pub const SYNTAX_ERROR: &str = "42601";
/// `feature_not_supported`.
pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
/// `internal_error`: the request failed, its effect is unknown.
pub const INTERNAL_ERROR: &str = "XX000";
