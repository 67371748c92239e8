//! The requests of a client, one type for each guarantee about repeated execution, and their outcomes.

use crate::time::Millis;
use crate::wire::Query;
use bytes::Bytes;

/// The bytes of an item as an endpoint returned them; the library does not interpret them.
pub type Value = Bytes;

/// A request that may be executed any number of times, because it only reads an item. Sent by
/// [`Client::send_idempotent`](crate::Client::send_idempotent).
#[derive(Clone, Debug, PartialEq)]
pub struct IdempotentRequest {
    /// The request class, a name from the configuration of the gateways.
    pub class: String,
    /// The id of the item in the store.
    pub item: String,
    /// The call ends at the latest after this time, including all retries and backoffs.
    pub timeout: Millis,
    /// Requests with a higher weight get a connection first, and are rejected last if the queue is full. Not sent to
    /// gateways.
    pub priority_weight: f64,
}

/// A request that writes an item, with an idempotency key by which endpoints drop duplicates. Sent by
/// [`Client::send_keyed`](crate::Client::send_keyed).
#[derive(Clone, Debug, PartialEq)]
pub struct KeyedRequest {
    /// The request class, a name from the configuration of the gateways.
    pub class: String,
    /// The id of the item in the store.
    pub item: String,
    /// The bytes to write to the item.
    pub document: Vec<u8>,
    /// The idempotency key, the same for each attempt; it must not be used for any other request.
    pub key: String,
    /// The time during which endpoints drop duplicates, from the first attempt that was possibly executed. No retry is
    /// sent in the last 20 ms, nor after the window.
    pub dedup_window: Millis,
    /// The call ends at the latest after this time, including all retries and backoffs.
    pub timeout: Millis,
    /// Requests with a higher weight get a connection first, and are rejected last if the queue is full. Not sent to
    /// gateways.
    pub priority_weight: f64,
}

/// A request that writes an item and must be executed at most once. Sent by
/// [`Client::send_non_idempotent`](crate::Client::send_non_idempotent), which consumes it; the type does not implement
/// `Clone`, so that a request cannot be sent again by mistake.
///
/// ```compile_fail
/// # async fn send(client: latchhaven_client::Client, payment: latchhaven_client::NonIdempotentRequest) {
/// client.send_non_idempotent(payment).await;
/// client.send_non_idempotent(payment).await; // used after it was moved
/// # }
/// ```
///
/// ```compile_fail
/// # fn copy(payment: latchhaven_client::NonIdempotentRequest) {
/// let again = payment.clone(); // not `Clone`
/// # }
/// ```
#[derive(Debug, PartialEq)]
pub struct NonIdempotentRequest {
    /// The request class, a name from the configuration of the gateways.
    pub class: String,
    /// The id of the item in the store.
    pub item: String,
    /// The bytes to write to the item.
    pub document: Vec<u8>,
    /// The call ends at the latest after this time, including all retries and backoffs.
    pub timeout: Millis,
    /// Requests with a higher weight get a connection first, and are rejected last if the queue is full. Not sent to
    /// gateways.
    pub priority_weight: f64,
}

/// How a [`NonIdempotentRequest`] ended, and whether the caller may send it again.
#[derive(Debug, PartialEq)]
pub enum NonIdempotentOutcome {
    /// The request was executed, with this value.
    Succeeded(Value),
    /// The request was definitely not executed. It is returned to the caller, who may send it again.
    Rejected(NonIdempotentRequest),
    /// The request was possibly executed. The caller must verify its effect by other means, and must not send it again
    /// before.
    Unknown,
    /// A name in the request cannot be sent, as in [`RequestError::InvalidName`]: the request was not executed. Sending
    /// it again without a change fails again.
    InvalidName(NonIdempotentRequest),
}

/// Why an idempotent or keyed request has no value, and what the caller may do.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum RequestError {
    /// The request was definitely not executed; the caller may send it again later.
    #[error("rejected before execution; a retry is harmless")]
    Rejected,
    /// No response before the deadline, or an error. The caller may send the request again because it is idempotent;
    /// keyed requests never have this error.
    #[error("failed; a retry is harmless because the request is idempotent")]
    Failed,
    /// The request was possibly executed, and endpoints may no longer recognize its key. The caller must verify its
    /// effect, and must not send it again before. Idempotent requests never have this error.
    #[error("outcome unknown: the request was possibly executed")]
    Unknown,
    /// A name, id or key does not consist of 1 to 128 ASCII letters, digits and the characters `-`, `_`, `.` and `:`.
    /// The request was not sent, and sending it again without a change fails again.
    #[error("a name, id or key does not consist of 1 to 128 ASCII letters, digits, '-', '_', '.' and ':'")]
    InvalidName,
}

/// The parts of a request that are the same in each attempt.
#[derive(Clone, Copy)]
pub(crate) struct RequestContent<'a> {
    pub(crate) class: &'a str,
    pub(crate) item: &'a str,
    pub(crate) document: Option<&'a [u8]>,
    pub(crate) key: Option<&'a str>,
}

impl<'a> RequestContent<'a> {
    /// Creates a query with this content. The caller replaces the id, the time remaining and the retry flag for each
    /// attempt.
    pub(crate) fn to_query<'b>(self, tenant: Option<&'b str>) -> Query<'b>
    where
        'a: 'b,
    {
        Query {
            id: "0",
            class: self.class,
            tenant,
            item: self.item,
            document: self.document,
            key: self.key,
            time_remaining: 1,
            is_retry: false,
        }
    }
}
