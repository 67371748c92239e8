//! Messages of the `PostgreSQL` protocol, and a client.

use crate::wait::MAX_WAIT;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Version 3.0 of the protocol, as encoded in the startup message.
const PROTOCOL_VERSION: u32 = 3 << 16;
/// Bytes of a length field, which counts itself.
const LENGTH_SIZE: usize = 4;
/// Bytes of a data row before its only value: the number of columns and the length of the value.
const ROW_HEADER_SIZE: usize = 6;

/// `ReadyForQuery` outside a transaction.
pub(crate) const READY_FOR_QUERY: &[u8] = b"Z\0\0\0\x05I";
/// `AuthenticationOk`.
pub(crate) const AUTHENTICATION_OK: &[u8] = b"R\0\0\0\x08\0\0\0\0";

/// A message with a type: all but the startup message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TypedMessage {
    /// The type, an ASCII letter.
    pub kind: u8,
    /// The content without type and length.
    pub body: Vec<u8>,
}

/// The SQLSTATE of an error response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct SqlState(pub String);

impl From<&str> for SqlState {
    fn from(code: &str) -> Self {
        SqlState(code.to_string())
    }
}

/// Encodes a message.
pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() + LENGTH_SIZE) as u32;
    let mut encoded = vec![kind];
    encoded.extend(length.to_be_bytes());
    encoded.extend(body);
    encoded
}

/// Encodes a result of one row with one column: its description, the row, and the end of the command.
pub fn row(value: &[u8]) -> Vec<u8> {
    let mut description = vec![0, 1];
    description.extend(b"doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    let mut data = vec![0, 1];
    data.extend((value.len() as u32).to_be_bytes());
    data.extend(value);
    [message(b'T', &description), message(b'D', &data), message(b'C', b"SELECT 1\0")].concat()
}

/// Encodes an error response with this SQLSTATE.
pub fn error_response(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes())
}

/// Encodes the startup message of a client.
pub fn startup() -> Vec<u8> {
    let parameters = b"user\0app\0database\0shop\0\0";
    let length = (parameters.len() + 2 * LENGTH_SIZE) as u32;
    [&length.to_be_bytes()[..], &PROTOCOL_VERSION.to_be_bytes(), parameters].concat()
}

/// Encodes a simple query.
pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), b"\0"].concat())
}

/// The text of a query that only reads; `timeout` in ms.
pub fn select(id: &str, class: &str, timeout: u32) -> String {
    format!("SELECT doc FROM items WHERE id = '7f3a' /* id={id},c={class},t=acme,d={timeout} */")
}

/// The text of a query that writes, with a key; `timeout` in ms.
pub fn insert(id: &str, class: &str, timeout: u32) -> String {
    let statement = r"INSERT INTO items (id, doc) VALUES ('7f', '\x9f03') RETURNING doc";
    format!("{statement} /* d={timeout},k=5c,id={id},t=acme,c={class} */")
}

/// Reads one message; none at the end of the stream.
pub fn read_message(stream: &mut TcpStream) -> Option<TypedMessage> {
    let mut kind = [0];
    stream.read_exact(&mut kind).ok()?;
    let body = read_body(stream)?;
    Some(TypedMessage { kind: kind[0], body })
}

/// Reads the startup message.
pub(crate) fn read_startup(stream: &mut TcpStream) -> Option<()> {
    read_body(stream).map(drop)
}

fn read_body(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut length = [0; LENGTH_SIZE];
    stream.read_exact(&mut length).ok()?;
    let mut body = vec![0; u32::from_be_bytes(length) as usize - LENGTH_SIZE];
    stream.read_exact(&mut body).ok()?;
    Some(body)
}

/// The messages that answer a query.
pub type QueryResponse = Vec<TypedMessage>;

/// A client on a blocking socket.
pub struct Client(pub TcpStream);

impl Client {
    /// Connects, without sending anything.
    ///
    /// # Panics
    /// The connection cannot be opened.
    pub fn connect(addr: SocketAddr) -> Self {
        Client::try_connect(addr).expect("a connection")
    }

    fn try_connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(addr)?;
        stream.set_read_timeout(Some(MAX_WAIT))?;
        stream.set_nodelay(true)?;
        Ok(Client(stream))
    }

    /// Writes bytes.
    ///
    /// # Panics
    /// The connection is broken.
    pub fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("the connection is open");
    }

    /// Reads all messages up to `ReadyForQuery`, or to the end of the connection.
    pub fn read_response(&mut self) -> QueryResponse {
        let mut messages = Vec::new();
        while let Some(message) = read_message(&mut self.0) {
            let is_last = message.kind == b'Z';
            messages.push(message);
            if is_last {
                break;
            }
        }
        messages
    }

    /// Sends a query and reads its response.
    pub fn query(&mut self, text: &str) -> QueryResponse {
        self.send(&query(text));
        self.read_response()
    }
}

/// The value of a response, or the SQLSTATE of its error.
///
/// # Errors
/// The first SQLSTATE, or a text if the response has neither row nor error.
///
/// # Panics
/// A value is not UTF-8, or an error has no SQLSTATE.
pub fn query_result(response: &[TypedMessage]) -> Result<String, SqlState> {
    for message in response {
        match message.kind {
            b'D' => {
                let value = message.body[ROW_HEADER_SIZE..].to_vec();
                return Ok(String::from_utf8(value).expect("a value in UTF-8"));
            }
            b'E' => return Err(sql_state(&message.body)),
            _ => {}
        }
    }
    Err(SqlState(format!("neither row nor error in {response:?}")))
}

fn sql_state(error_body: &[u8]) -> SqlState {
    let mut fields = error_body.split(|byte| *byte == 0);
    let code = fields.find(|field| field.first() == Some(&b'C')).expect("an error has a SQLSTATE");
    SqlState(String::from_utf8(code[1..].to_vec()).expect("a SQLSTATE in UTF-8"))
}
