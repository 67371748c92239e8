//! Requests by whether executing them more than once is harmless, and their outcomes.

use crate::time::Millis;
use crate::wire::Query;
use bytes::Bytes;

/// A value as an endpoint returned it.
pub type Value = Bytes;

/// A request that may be executed any number of times: it reads an item.
#[derive(Clone, Debug, PartialEq)]
pub struct IdempotentRequest {
    /// The name of the request class.
    pub class: String,
    /// The id of the item.
    pub item: String,
    /// The time in ms after which an answer is of no use.
    pub timeout: Millis,
    /// Requests with a higher weight get a connection first.
    pub priority_weight: f64,
}

/// A request with a key by which endpoints drop duplicates: it writes an item.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyedRequest {
    /// The name of the request class.
    pub class: String,
    /// The id of the item.
    pub item: String,
    /// What is written.
    pub document: Vec<u8>,
    /// The idempotency key.
    pub key: String,
    /// The time in ms, from the first attempt that was possibly executed, in which endpoints drop duplicates.
    pub dedup_window: Millis,
    /// The time in ms after which an answer is of no use.
    pub timeout: Millis,
    /// Requests with a higher weight get a connection first.
    pub priority_weight: f64,
}

/// A request that must be executed once at most: it writes an item. It is not `Clone`, and sending it moves it, so that
/// it cannot be sent again by mistake.
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
    /// The name of the request class.
    pub class: String,
    /// The id of the item.
    pub item: String,
    /// What is written.
    pub document: Vec<u8>,
    /// The time in ms after which an answer is of no use.
    pub timeout: Millis,
    /// Requests with a higher weight get a connection first.
    pub priority_weight: f64,
}

/// The outcome of a [`NonIdempotentRequest`].
#[derive(Debug, PartialEq)]
pub enum NonIdempotentOutcome {
    /// It was executed.
    Succeeded(Value),
    /// It was definitely not executed. The request is returned: sending it again is harmless.
    Rejected(NonIdempotentRequest),
    /// It was possibly executed; verify the effect by other means before sending anything again.
    Unknown,
    /// A name in it cannot be sent: it was not executed.
    InvalidName(NonIdempotentRequest),
}

/// Why an idempotent or keyed request has no value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum RequestError {
    /// It was definitely not executed.
    #[error("rejected before execution; a retry is harmless")]
    Rejected,
    /// No answer before the timeout, or an error; a retry is harmless since the request is idempotent.
    #[error("failed; a retry is harmless because the request is idempotent")]
    Failed,
    /// It was possibly executed, and endpoints may no longer recognize its key.
    #[error("outcome unknown: the request was possibly executed")]
    Unknown,
    /// A name in it contains a character that the protocol cannot carry, or is longer than 128 bytes.
    #[error("a name contains a character that cannot be sent, or is longer than 128 bytes")]
    InvalidName,
}

/// The content of a request, the same in each attempt.
#[derive(Clone, Copy)]
pub(crate) struct RequestContent<'a> {
    pub(crate) class: &'a str,
    pub(crate) item: &'a str,
    pub(crate) document: Option<&'a [u8]>,
    pub(crate) key: Option<&'a str>,
}

impl<'a> RequestContent<'a> {
    /// A query with this content; the id and the time remaining are placeholders.
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
