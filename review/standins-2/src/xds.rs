//! A proxy that takes its configuration over ADS, state of the world: HTTP/2 and protocol buffers as far as that needs them.

use crate::record::note;
use crate::{now_ms, sleep_ms};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const CLUSTER: &str = "type.googleapis.com/envoy.config.cluster.v3.Cluster";
const ENDPOINTS: &str = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
const LISTENER: &str = "type.googleapis.com/envoy.config.listener.v3.Listener";
const ROUTE: &str = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration";
const PATH: &str = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";

/// `HealthStatus` of a host.
pub const HEALTHY: u64 = 1;
pub const DRAINING: u64 = 3;

/// What a proxy has; it keeps this when the service is gone.
#[derive(Default)]
pub struct Held {
    /// The label of the last response of each type that was acknowledged.
    versions: BTreeMap<&'static str, String>,
    endpoint_names: BTreeSet<String>,
    /// The health of each host by port, and when it was told.
    pub hosts: BTreeMap<u64, (u64, f64)>,
    pub responses: u64,
}

/// A proxy, which connects again half a second after a connection has ended.
pub struct Proxy {
    pub held: Arc<Mutex<Held>>,
}

impl Proxy {
    pub fn start(node: &str, service: SocketAddr) -> Self {
        let held = Arc::new(Mutex::new(Held::default()));
        let (node, shared) = (node.to_string(), held.clone());
        std::thread::spawn(move || {
            loop {
                let end = Session::run(&node, service, &shared);
                note(format!("proxy {node}: connection ended: {}", end.err().map_or("closed".into(), |e| e.to_string())));
                sleep_ms(500.0);
            }
        });
        Proxy { held }
    }

    pub fn host(&self, port: u16) -> Option<(u64, f64)> {
        self.held.lock().unwrap().hosts.get(&u64::from(port)).copied()
    }
}

struct Session<'a> {
    stream: TcpStream,
    node: &'a str,
    held: &'a Mutex<Held>,
}

impl<'a> Session<'a> {
    fn run(node: &'a str, service: SocketAddr, held: &'a Mutex<Held>) -> io::Result<()> {
        let stream = TcpStream::connect(service)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(100)))?;
        let mut session = Session { stream, node, held };
        session.stream.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")?;
        session.frame(4, 0, 0, &[])?;
        // 16 MiB for the connection and, by the settings' default and this, for the stream.
        session.frame(8, 0, 0, &(1u32 << 24).to_be_bytes())?;
        let mut headers = Vec::new();
        let pairs = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", PATH),
            (":authority", "127.0.0.1"),
            ("te", "trailers"),
            ("content-type", "application/grpc"),
        ];
        for (name, value) in pairs {
            headers.push(0);
            for text in [name, value] {
                headers.push(text.len() as u8);
                headers.extend(text.bytes());
            }
        }
        session.frame(1, 4, 1, &headers)?;
        session.frame(8, 0, 1, &(1u32 << 24).to_be_bytes())?;
        session.request(CLUSTER, "")?;
        let names = !held.lock().unwrap().endpoint_names.is_empty();
        if names {
            session.request(ENDPOINTS, "")?;
        }
        session.request(LISTENER, "")?;
        session.request(ROUTE, "")?;
        session.receive()
    }

    fn frame(&mut self, kind: u8, flags: u8, stream: u32, payload: &[u8]) -> io::Result<()> {
        let length = (payload.len() as u32).to_be_bytes();
        let mut bytes = length[1..].to_vec();
        bytes.extend([kind, flags]);
        bytes.extend(stream.to_be_bytes());
        bytes.extend(payload);
        self.stream.write_all(&bytes)
    }

    /// A subscription, or with a nonce an acknowledgement.
    fn request(&mut self, type_url: &'static str, nonce: &str) -> io::Result<()> {
        let held = self.held.lock().unwrap();
        let names: Vec<String> = match type_url {
            ENDPOINTS => held.endpoint_names.iter().cloned().collect(),
            ROUTE => vec!["latchhaven".into()],
            _ => Vec::new(),
        };
        let version = held.versions.get(type_url).cloned().unwrap_or_default();
        drop(held);
        let mut message = Vec::new();
        put(&mut message, 1, version.as_bytes());
        let mut node = Vec::new();
        put(&mut node, 1, self.node.as_bytes());
        put(&mut message, 2, &node);
        for name in names {
            put(&mut message, 3, name.as_bytes());
        }
        put(&mut message, 4, type_url.as_bytes());
        put(&mut message, 5, nonce.as_bytes());
        let mut data = vec![0];
        data.extend((message.len() as u32).to_be_bytes());
        data.extend(message);
        self.frame(0, 0, 1, &data)
    }

    fn receive(&mut self) -> io::Result<()> {
        let mut buffer = Vec::new();
        loop {
            let mut head = [0; 9];
            self.stream.read_exact(&mut head)?;
            let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
            let (kind, flags) = (head[3], head[4]);
            let mut payload = vec![0; length];
            self.stream.read_exact(&mut payload)?;
            match kind {
                0 => {
                    buffer.extend(&payload);
                    if length > 0 {
                        let increment = (length as u32).to_be_bytes();
                        self.frame(8, 0, 0, &increment)?;
                        self.frame(8, 0, 1, &increment)?;
                    }
                    while buffer.len() >= 5 {
                        let size = u32::from_be_bytes([buffer[1], buffer[2], buffer[3], buffer[4]]) as usize;
                        if buffer.len() < 5 + size {
                            break;
                        }
                        let message: Vec<u8> = buffer.drain(..5 + size).skip(5).collect();
                        self.on_response(&message)?;
                    }
                }
                // The end of the stream, by trailers or a reset, and the end of the connection.
                1 if flags & 1 == 1 => return Ok(()),
                3 | 7 => return Ok(()),
                4 if flags & 1 == 0 => self.frame(4, 1, 0, &[])?,
                6 if flags & 1 == 0 => self.frame(6, 1, 0, &payload)?,
                _ => {}
            }
        }
    }

    fn on_response(&mut self, message: &[u8]) -> io::Result<()> {
        let fields = fields(message);
        let text = |number| fields.iter().find(|field| field.0 == number).map(|field| utf8(field.1)).unwrap_or_default();
        let (version, url, nonce) = (text(1), text(4), text(5));
        let Some(type_url) = [CLUSTER, ENDPOINTS, LISTENER, ROUTE].into_iter().find(|known| *known == url) else {
            return Ok(());
        };
        let resources: Vec<&[u8]> = all(&fields, 2).map(|any| first(any, 2)).collect();
        note(format!("proxy {}: got {} resources of {}, label {version}", self.node, resources.len(), url.rsplit('.').next().unwrap_or("")));
        let mut wants_endpoints = false;
        {
            let mut held = self.held.lock().unwrap();
            held.responses += 1;
            held.versions.insert(type_url, version);
            if type_url == CLUSTER {
                // A cluster without hosts of its own names no endpoints.
                let names = resources.iter().map(|cluster| utf8(first(first(cluster, 3), 2))).filter(|name| !name.is_empty());
                let names: BTreeSet<String> = names.collect();
                wants_endpoints = names != held.endpoint_names;
                held.endpoint_names = names;
            }
            if type_url == ENDPOINTS {
                for assignment in resources {
                    let localities = self::fields(assignment);
                    for locality in all(&localities, 2) {
                        let members = self::fields(locality);
                        for host in all(&members, 2) {
                            let socket = first(first(first(host, 1), 1), 1);
                            let (port, health) = (number(socket, 3), number(host, 2));
                            let known = held.hosts.get(&port).map(|(health, _)| *health);
                            if known != Some(health) {
                                held.hosts.insert(port, (health, now_ms()));
                                note(format!("proxy {}: host at port {port} has health {health}", self.node));
                            }
                        }
                    }
                }
            }
        }
        self.request(type_url, &nonce)?;
        if wants_endpoints {
            self.request(ENDPOINTS, "")?;
        }
        Ok(())
    }
}

fn utf8(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn put_varint(bytes: &mut Vec<u8>, mut value: u64) {
    while value >= 0x80 {
        bytes.push(value as u8 | 0x80);
        value >>= 7;
    }
    bytes.push(value as u8);
}

/// Appends a field of text or a message, unless it is empty.
fn put(bytes: &mut Vec<u8>, number: u64, value: &[u8]) {
    if !value.is_empty() {
        put_varint(bytes, number << 3 | 2);
        put_varint(bytes, value.len() as u64);
        bytes.extend(value);
    }
}

fn take_varint(bytes: &mut &[u8]) -> Option<u64> {
    let mut value = 0;
    for shift in (0..64).step_by(7) {
        let (byte, rest) = bytes.split_first()?;
        *bytes = rest;
        value |= u64::from(byte & 0x7f) << shift;
        if byte & 0x80 == 0 {
            return Some(value);
        }
    }
    None
}

/// The fields of a message: number, bytes of a field of text or a message, value of a number.
fn fields(mut bytes: &[u8]) -> Vec<(u64, &[u8], u64)> {
    let mut found = Vec::new();
    while let Some(tag) = take_varint(&mut bytes) {
        let (number, wire) = (tag >> 3, tag & 7);
        let length = match wire {
            0 => {
                let Some(value) = take_varint(&mut bytes) else { break };
                found.push((number, &[][..], value));
                continue;
            }
            1 => 8,
            2 => take_varint(&mut bytes).unwrap_or(u64::MAX) as usize,
            5 => 4,
            _ => break,
        };
        let Some((value, rest)) = bytes.split_at_checked(length) else { break };
        found.push((number, value, 0));
        bytes = rest;
    }
    found
}

fn all<'a, 'b>(fields: &'b [(u64, &'a [u8], u64)], number: u64) -> impl Iterator<Item = &'a [u8]> + 'b {
    fields.iter().filter(move |field| field.0 == number).map(|field| field.1)
}

fn first(bytes: &[u8], number: u64) -> &[u8] {
    fields(bytes).into_iter().find(|field| field.0 == number).map_or(&[], |field| field.1)
}

fn number(bytes: &[u8], number: u64) -> u64 {
    fields(bytes).into_iter().find(|field| field.0 == number).map_or(0, |field| field.2)
}
