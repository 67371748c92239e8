//! Requests by what is known of executing them more than once, and what they come to.

use crate::time::Millis;
use crate::wire::Query;
use bytes::Bytes;

/// A value as an endpoint gave it.
pub type Value = Bytes;

/// A request that may be sent again whatever happened: it reads an item.
#[derive(Clone, Debug, PartialEq)]
pub struct IdempotentRequest {
    /// The name of the request class.
    pub class: String,
    /// The id of the item.
    pub item: String,
    /// The time in ms after which nobody waits for the answer any more.
    pub timeout: Millis,
    /// Requests with a higher weight go first when connections are short.
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
    /// The time in ms after which nobody waits for the answer any more.
    pub timeout: Millis,
    /// Requests with a higher weight go first when connections are short.
    pub priority_weight: f64,
}

/// A request that must be executed once at most: it writes an item. It is neither `Clone` nor taken by reference: once
/// it was sent it is gone, so that it cannot be sent again by mistake.
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
/// let again = payment.clone(); // there is no second one
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
    /// The time in ms after which nobody waits for the answer any more.
    pub timeout: Millis,
    /// Requests with a higher weight go first when connections are short.
    pub priority_weight: f64,
}

/// What a [`NonIdempotentRequest`] came to.
#[derive(Debug, PartialEq)]
pub enum NonIdempotentOutcome {
    /// It was executed.
    Succeeded(Value),
    /// It was definitely not executed. The request is given back: to send it again is harmless.
    Rejected(NonIdempotentRequest),
    /// It was possibly executed; find out by other means before anything is sent again.
    Unknown,
    /// A name in it cannot be sent: it was not executed.
    InvalidName(NonIdempotentRequest),
}

/// Why a request that may be sent again has no value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum RequestError {
    /// It was definitely not executed.
    #[error("declined")]
    Rejected,
    /// No answer came in time; to send it again is harmless since it is idempotent.
    #[error("failed")]
    Failed,
    /// It was possibly executed, and endpoints may have forgotten its key.
    #[error("unknown: it may have run")]
    Unknown,
    /// A name in it holds a character that the protocol has no place for, or is longer than 128 bytes.
    #[error("a name that cannot be sent")]
    InvalidName,
}

/// What a request says, the same in each attempt.
#[derive(Clone, Copy)]
pub(crate) struct RequestContent<'a> {
    pub(crate) class: &'a str,
    pub(crate) item: &'a str,
    pub(crate) document: Option<&'a [u8]>,
    pub(crate) key: Option<&'a str>,
}

impl<'a> RequestContent<'a> {
    /// A first attempt of it; ids and times are still to be set.
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
