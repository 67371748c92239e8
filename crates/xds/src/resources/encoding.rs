//! Encoded resources, content hashes, and messages that several resource types share.

use super::resource_type::ResourceType;
use crate::pb::envoy::config::core::v3 as core;
use crate::pb::google::protobuf::{Any, Duration, UInt32Value};
use bytes::{BufMut, Bytes, BytesMut};
use latchhaven_policy::Millis;
use prost::Message;
use prost::encoding::{WireType, encode_key, encode_varint};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Offset basis of 64-bit FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// The field `resources` of a `DiscoveryResponse`, and `resource` of the `Resource` in a `DeltaDiscoveryResponse`.
const RESOURCE_FIELD: u32 = 2;
/// Reserved for the key and the length of a field. The buffer grows if they need more.
const FIELD_HEADER_BYTES: usize = 8;
const NANOS_PER_MILLI: f64 = 1e6;
const NANOS_PER_SECOND: i64 = 1_000_000_000;

/// An encoded resource, shared by all streams that send it.
#[derive(Debug)]
pub struct Resource {
    /// The resource name, unique within the resource type.
    pub name: String,
    /// Hash of the encoded message. Equal contents have equal hashes at all control services. Part of the version
    /// label.
    pub hash: u64,
    /// Names of the resources that this one references: routes reference clusters, a cluster references its endpoints,
    /// endpoints reference the prefixes of their LEDS collections, and the listener references the routes.
    pub references: BTreeSet<String>,
    /// The message as an `Any`, encoded with the key of protobuf field 2. The number is the same in both forms of the
    /// protocol: `resources` of a `DiscoveryResponse`, and `resource` of a `Resource` in a `DeltaDiscoveryResponse`.
    pub any: Bytes,
}

/// A resource whose message is encoded, but not yet wrapped in an `Any`.
pub(super) struct ResourceMessage {
    pub(super) name: String,
    pub(super) references: BTreeSet<String>,
    pub(super) bytes: Vec<u8>,
}

impl ResourceMessage {
    pub(super) fn hash(&self) -> u64 {
        content_hash(self.bytes.iter().copied())
    }

    /// Wraps the message in an `Any`. The caller passes the result of [`ResourceMessage::hash`].
    pub(super) fn into_resource(self, resource_type: ResourceType, hash: u64) -> Resource {
        let any = Any { type_url: resource_type.url().to_string(), value: self.bytes };
        let any = any.encode_to_vec();
        let mut field = BytesMut::with_capacity(any.len() + FIELD_HEADER_BYTES);
        encode_bytes_field(RESOURCE_FIELD, &any, &mut field);
        Resource { name: self.name, hash, references: self.references, any: field.freeze() }
    }
}

/// 64-bit FNV-1a, which gives the same hash at all control services. Does not protect against forgery; version labels
/// are signed separately.
pub(crate) fn content_hash(bytes: impl IntoIterator<Item = u8>) -> u64 {
    let add = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    bytes.into_iter().fold(FNV_OFFSET_BASIS, add)
}

/// Appends a length-delimited protobuf field.
pub(crate) fn encode_bytes_field(tag: u32, bytes: &[u8], out: &mut BytesMut) {
    encode_key(tag, WireType::LengthDelimited, out);
    encode_varint(bytes.len() as u64, out);
    out.put_slice(bytes);
}

/// Wraps a message in an `Any`. `type_name` is the full protobuf name of the message, without the host of type URLs.
pub(super) fn to_any(type_name: &str, message: &impl Message) -> Any {
    Any { type_url: format!("type.googleapis.com/{type_name}"), value: message.encode_to_vec() }
}

pub(super) fn to_uint32_value(value: u32) -> UInt32Value {
    UInt32Value { value }
}

/// Negative durations become zero.
pub(super) fn to_duration(duration: Millis) -> Duration {
    let nanos = (duration.max(0.0) * NANOS_PER_MILLI) as i64;
    Duration { seconds: nanos / NANOS_PER_SECOND, nanos: (nanos % NANOS_PER_SECOND) as i32 }
}

/// The source from which proxies request referenced resources: the aggregated stream (ADS).
pub(super) fn aggregated_config_source() -> core::ConfigSource {
    let source = core::config_source::ConfigSourceSpecifier::Ads(core::AggregatedConfigSource {});
    core::ConfigSource {
        resource_api_version: core::ApiVersion::V3 as i32,
        config_source_specifier: Some(source),
        ..core::ConfigSource::default()
    }
}

/// Converts an address to the protobuf message that resources and load reports use.
#[must_use]
pub fn to_xds_address(addr: SocketAddr) -> core::Address {
    let port = core::socket_address::PortSpecifier::PortValue(u32::from(addr.port()));
    let socket_address = core::SocketAddress {
        address: addr.ip().to_string(),
        port_specifier: Some(port),
        ..core::SocketAddress::default()
    };
    core::Address { address: Some(core::address::Address::SocketAddress(socket_address)) }
}
