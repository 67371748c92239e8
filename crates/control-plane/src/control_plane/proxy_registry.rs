//! Proxies and their streams: which stream belongs to which proxy, and which proxies are connected.

use std::collections::BTreeMap;

struct Proxy {
    /// Identifies the proxy towards the share ledger and the load reports.
    number: u64,
    /// Discovery streams that are open; streams that only report loads do not count.
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
    /// Discovery streams that wait for admission, with their node ids.
    pending_streams: BTreeMap<u64, String>,
}

impl ProxyRegistry {
    /// A discovery stream waits for admission.
    pub(crate) fn add_pending_stream(&mut self, stream: u64, node: String) {
        self.pending_streams.insert(stream, node);
    }

    /// A discovery stream was admitted. The number of its proxy; none if the stream was closed meanwhile.
    pub(crate) fn open_discovery_stream(&mut self, stream: u64) -> Option<u64> {
        let node = self.pending_streams.remove(&stream)?;
        let proxy = self.proxy_mut(&node);
        proxy.open_streams += 1;
        let number = proxy.number;
        self.streams.insert(stream, ProxyStream { node, reports_loads: false });
        Some(number)
    }

    /// A stream that only reports loads was admitted.
    pub(crate) fn open_load_stream(&mut self, stream: u64, node: &str) {
        self.proxy_mut(node);
        self.streams.insert(stream, ProxyStream { node: node.to_string(), reports_loads: true });
    }

    /// A stream was closed, admitted or not. The number of its proxy if that has no discovery stream any more.
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

    /// Forgets proxies without an open discovery stream where there are more than `max_proxies`.
    pub(crate) fn forget_disconnected_above(&mut self, max_proxies: usize) {
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
