//! Proxies and their streams: which stream belongs to which proxy, and which proxies are connected.

use std::collections::BTreeMap;

struct Proxy {
    /// The proxy's id in the share ledger and the load reports.
    number: u64,
    /// Open discovery streams; streams of load reports do not count.
    open_streams: u32,
}

/// A stream that was admitted.
struct ProxyStream {
    node: String,
    reports_loads: bool,
}

/// The proxies that are or were connected, by node id.
#[derive(Default)]
pub(crate) struct ProxyRegistry {
    proxies: BTreeMap<String, Proxy>,
    last_number: u64,
    streams: BTreeMap<u64, ProxyStream>,
    /// Discovery streams pending admission, with their node ids.
    pending_streams: BTreeMap<u64, String>,
}

impl ProxyRegistry {
    /// A discovery stream is pending admission.
    pub(crate) fn add_pending_stream(&mut self, stream: u64, node: String) {
        self.pending_streams.insert(stream, node);
    }

    /// A discovery stream was admitted. Returns the number of its proxy; none if the stream was closed before.
    pub(crate) fn open_discovery_stream(&mut self, stream: u64) -> Option<u64> {
        let node = self.pending_streams.remove(&stream)?;
        let proxy = self.proxy_mut(&node);
        proxy.open_streams += 1;
        let number = proxy.number;
        self.streams.insert(stream, ProxyStream { node, reports_loads: false });
        Some(number)
    }

    /// A stream of load reports was admitted.
    pub(crate) fn open_load_report_stream(&mut self, stream: u64, node: &str) {
        self.proxy_mut(node);
        self.streams.insert(stream, ProxyStream { node: node.to_string(), reports_loads: true });
    }

    /// A stream was closed, admitted or not. Returns the number of its proxy if this was its last discovery stream.
    pub(crate) fn close_stream(&mut self, stream: u64) -> Option<u64> {
        self.pending_streams.remove(&stream);
        let closed = self.streams.remove(&stream)?;
        if closed.reports_loads {
            return None;
        }
        let proxy = self.proxies.get_mut(&closed.node)?;
        proxy.open_streams = proxy.open_streams.saturating_sub(1);
        (proxy.open_streams == 0).then_some(proxy.number)
    }

    /// The number of a stream's proxy.
    pub(crate) fn proxy_number(&self, stream: u64) -> Option<u64> {
        let node = self.node(stream)?;
        self.proxies.get(node).map(|proxy| proxy.number)
    }

    /// The node id of a stream's proxy.
    pub(crate) fn node(&self, stream: u64) -> Option<&str> {
        self.streams.get(&stream).map(|stream| stream.node.as_str())
    }

    /// Removes proxies without an open discovery stream if there are more than `max_proxies`.
    pub(crate) fn remove_disconnected_above(&mut self, max_proxies: usize) {
        if self.proxies.len() > max_proxies {
            self.proxies.retain(|_, proxy| proxy.open_streams > 0);
        }
    }

    fn proxy_mut(&mut self, node: &str) -> &mut Proxy {
        let last_number = &mut self.last_number;
        self.proxies.entry(node.to_string()).or_insert_with(|| {
            *last_number += 1;
            Proxy { number: *last_number, open_streams: 0 }
        })
    }
}
