//! Registered proxies: the proxy of each stream, and whether a proxy is connected.

use std::collections::BTreeMap;

struct Proxy {
    /// Identifies the proxy in the published shares and the load reports; starts at 1 and is not reused.
    number: u64,
    /// The number of open discovery streams; streams of load reports do not count.
    open_streams: u32,
}

/// An admitted stream.
struct ProxyStream {
    /// The node id of the proxy.
    node: String,
    /// Set for a stream of load reports, clear for a discovery stream.
    reports_loads: bool,
}

/// The proxies that are connected, and those that were and have not been removed. A proxy is identified by its node
/// id; streams are identified by the number that the xDS server assigned.
#[derive(Default)]
pub(crate) struct ProxyRegistry {
    /// The registered proxies, by node id.
    proxies: BTreeMap<String, Proxy>,
    last_number: u64,
    streams: BTreeMap<u64, ProxyStream>,
    /// The node id of each discovery stream that is pending admission, by the number of the stream.
    pending_streams: BTreeMap<u64, String>,
}

impl ProxyRegistry {
    /// Records a discovery stream that is pending admission.
    pub(crate) fn add_pending_stream(&mut self, stream: u64, node: String) {
        self.pending_streams.insert(stream, node);
    }

    /// Opens a discovery stream that was admitted. Returns the number of its proxy, or `None` if the stream was
    /// closed before it was admitted.
    pub(crate) fn open_discovery_stream(&mut self, stream: u64) -> Option<u64> {
        let node = self.pending_streams.remove(&stream)?;
        let proxy = self.proxy_mut(&node);
        proxy.open_streams += 1;
        let number = proxy.number;
        self.streams.insert(stream, ProxyStream { node, reports_loads: false });
        Some(number)
    }

    /// Opens a stream of load reports that was admitted.
    pub(crate) fn open_load_report_stream(&mut self, stream: u64, node: &str) {
        self.proxy_mut(node);
        self.streams.insert(stream, ProxyStream { node: node.to_string(), reports_loads: true });
    }

    /// Removes a stream that was closed, admitted or not. Returns the number of its proxy if the stream was the
    /// proxy's last open discovery stream.
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

    /// Returns the number of an admitted stream's proxy.
    pub(crate) fn proxy_number(&self, stream: u64) -> Option<u64> {
        let node = self.node(stream)?;
        self.proxies.get(node).map(|proxy| proxy.number)
    }

    /// Returns the node id of an admitted stream's proxy.
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
