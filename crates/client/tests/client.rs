//! The client on real sockets, against a gateway with scripted responses.

use latchhaven_client::{
    AttemptCounts, Client, ClientConfig, IdempotentRequest, KeyedRequest, NonIdempotentOutcome,
    NonIdempotentRequest, RequestError, Value,
};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

// The messages of a gateway's responses.
const VALUE: &[Message] = &[(b'D', b"\0\x01\0\0\0\x03abc"), (b'C', b"SELECT 1\0"), READY];
const REJECTED: &[Message] = &[(b'E', b"SERROR\0C53300\0\0"), READY];
const REJECTED_FOR_30_S: &[Message] = &[(b'E', b"SERROR\0C53300\0D30000\0\0"), READY];
const FAILED: &[Message] = &[(b'E', b"SERROR\0CXX000\0\0"), READY];
const READY: Message = (b'Z', b"I");

/// The kind and the body of a message.
type Message = (u8, &'static [u8]);

fn encode(messages: &[Message]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for (kind, body) in messages {
        bytes.push(*kind);
        bytes.extend((body.len() as u32 + 4).to_be_bytes());
        bytes.extend_from_slice(body);
    }
    bytes
}

/// What the gateway does after a query.
#[derive(Clone, Copy, Debug)]
enum GatewayAction {
    Respond(&'static [Message]),
    /// Closes the connection without a response.
    Close,
    /// Sends no response and leaves the connection open.
    Ignore,
}

/// What the gateway has received.
#[derive(Default)]
struct GatewayLog {
    connections: usize,
    queries: Vec<String>,
}

struct Gateway {
    address: SocketAddr,
    log: Arc<Mutex<GatewayLog>>,
}

impl Gateway {
    /// Starts a gateway that takes one action for each query, in this order; the last action also for all further
    /// queries.
    async fn start(actions: &[GatewayAction]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener is bound");
        let address = listener.local_addr().expect("listener has an address");
        let log = Arc::new(Mutex::new(GatewayLog::default()));
        let script = Arc::new(Mutex::new(VecDeque::from(actions.to_vec())));
        let gateway = Gateway { address, log: log.clone() };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                log.lock().expect("log mutex is not poisoned").connections += 1;
                tokio::spawn(serve(stream, script.clone(), log.clone()));
            }
        });
        gateway
    }

    fn client(&self) -> Client {
        Client::start(ClientConfig::new(vec![self.address]))
    }

    fn queries(&self) -> Vec<String> {
        self.log.lock().expect("log mutex is not poisoned").queries.clone()
    }

    fn connections(&self) -> usize {
        self.log.lock().expect("log mutex is not poisoned").connections
    }
}

/// Reads a length field, which counts its own bytes, and returns the bytes after it.
async fn read_body(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let length = stream.read_u32().await.ok()?;
    let mut body = vec![0; length as usize - 4];
    stream.read_exact(&mut body).await.ok()?;
    Some(body)
}

async fn serve(
    mut stream: TcpStream, script: Arc<Mutex<VecDeque<GatewayAction>>>, log: Arc<Mutex<GatewayLog>>,
) -> Option<()> {
    read_body(&mut stream).await?;
    stream.write_all(&encode(&[READY])).await.ok()?;
    loop {
        assert_eq!(stream.read_u8().await.ok()?, b'Q');
        let query = read_body(&mut stream).await?;
        log.lock()
            .expect("log mutex is not poisoned")
            .queries
            .push(String::from_utf8_lossy(&query).into_owned());
        let action = {
            let mut script = script.lock().expect("script mutex is not poisoned");
            if script.len() > 1 { script.pop_front() } else { script.front().copied() }
        };
        match action? {
            GatewayAction::Respond(messages) => stream.write_all(&encode(messages)).await.ok()?,
            GatewayAction::Close => return None,
            GatewayAction::Ignore => {}
        }
    }
}

fn read_request(timeout: f64) -> IdempotentRequest {
    IdempotentRequest {
        class: "look-up".to_string(),
        item: "7f3a".to_string(),
        timeout,
        priority_weight: 1.0,
    }
}

fn payment() -> NonIdempotentRequest {
    NonIdempotentRequest {
        class: "take-payment".to_string(),
        item: "receipt-77".to_string(),
        document: vec![0x9f, 0x03],
        timeout: 5_000.0,
        priority_weight: 2.0,
    }
}

fn order() -> KeyedRequest {
    KeyedRequest {
        class: "place-order".to_string(),
        item: "order-1".to_string(),
        document: vec![1],
        key: "desk-4-1".to_string(),
        dedup_window: 10_000.0,
        timeout: 5_000.0,
        priority_weight: 3.0,
    }
}

#[tokio::test]
async fn connection_is_reused_after_a_response() {
    let gateway = Gateway::start(&[GatewayAction::Respond(VALUE)]).await;
    let client = gateway.client();
    for _ in 0..3 {
        assert_eq!(client.send_idempotent(&read_request(5_000.0)).await, Ok(Value::from_static(b"abc")));
    }
    assert_eq!(gateway.connections(), 1);
    assert_eq!(client.attempt_counts(), AttemptCounts { written: 3, retries: 0 });
    let queries = gateway.queries();
    assert!(queries[0].starts_with("SELECT doc FROM items WHERE id = '7f3a' /* id="), "{queries:?}");
}

#[tokio::test]
async fn rejected_attempt_is_retried_under_a_new_id() {
    let gateway = Gateway::start(&[GatewayAction::Respond(REJECTED), GatewayAction::Respond(VALUE)]).await;
    let client = gateway.client();
    let outcome = client.send_non_idempotent(payment()).await;
    assert_eq!(outcome, NonIdempotentOutcome::Succeeded(Value::from_static(b"abc")));
    assert_eq!(client.attempt_counts(), AttemptCounts { written: 2, retries: 1 });
    let queries = gateway.queries();
    assert!(!queries[0].contains(",r=1") && queries[1].contains(",r=1"), "{queries:?}");
    let id = |query: &str| query.split("/* id=").nth(1).map(|rest| rest[..16].to_string());
    assert_ne!(id(&queries[0]), id(&queries[1]));
}

#[tokio::test]
async fn rejected_non_idempotent_request_is_returned() {
    let gateway = Gateway::start(&[GatewayAction::Respond(REJECTED_FOR_30_S)]).await;
    let outcome = gateway.client().send_non_idempotent(payment()).await;
    assert_eq!(outcome, NonIdempotentOutcome::Rejected(payment()));
    assert_eq!(gateway.queries().len(), 1);
}

#[tokio::test]
async fn non_idempotent_request_is_not_retried_after_a_lost_connection_or_an_error() {
    for action in [GatewayAction::Close, GatewayAction::Respond(FAILED)] {
        let gateway = Gateway::start(&[action, GatewayAction::Respond(VALUE)]).await;
        let outcome = gateway.client().send_non_idempotent(payment()).await;
        assert_eq!(outcome, NonIdempotentOutcome::Unknown, "{action:?}");
        assert_eq!(gateway.queries().len(), 1);
    }
}

#[tokio::test]
async fn keyed_request_is_retried_with_its_key_after_an_error() {
    let gateway = Gateway::start(&[GatewayAction::Respond(FAILED), GatewayAction::Respond(VALUE)]).await;
    assert_eq!(gateway.client().send_keyed(&order()).await, Ok(Value::from_static(b"abc")));
    let queries = gateway.queries();
    assert!(queries.len() == 2 && queries.iter().all(|query| query.contains(",k=desk-4-1")), "{queries:?}");
}

#[tokio::test]
async fn request_without_a_response_fails_at_its_deadline() {
    let gateway = Gateway::start(&[GatewayAction::Ignore]).await;
    assert_eq!(gateway.client().send_idempotent(&read_request(100.0)).await, Err(RequestError::Failed));
    assert_eq!(gateway.queries().len(), 1);
}

#[tokio::test]
async fn request_without_a_gateway_is_rejected() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener is bound");
    let address = listener.local_addr().expect("listener has an address");
    drop(listener);
    let client = Client::start(ClientConfig::new(vec![address]));
    assert_eq!(client.send_idempotent(&read_request(100.0)).await, Err(RequestError::Rejected));
    assert_eq!(client.attempt_counts(), AttemptCounts { written: 0, retries: 0 });
}

#[tokio::test]
async fn request_with_an_invalid_name_is_not_sent() {
    let gateway = Gateway::start(&[GatewayAction::Respond(VALUE)]).await;
    let client = gateway.client();
    let request = IdempotentRequest { item: "a'b".to_string(), ..read_request(5_000.0) };
    assert_eq!(client.send_idempotent(&request).await, Err(RequestError::InvalidName));
    let invalid_payment = || NonIdempotentRequest { item: "a b".to_string(), ..payment() };
    let outcome = client.send_non_idempotent(invalid_payment()).await;
    assert_eq!(outcome, NonIdempotentOutcome::InvalidName(invalid_payment()));
    assert!(gateway.queries().is_empty());
}
