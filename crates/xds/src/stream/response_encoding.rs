//! Encodes responses. The resources precede the other fields, because their encoded bytes are chunks that all streams
//! share; protobuf allows any order of fields.

use super::type_state::ResponseContent;
use crate::resources::{Resource, ResourceSnapshot, ResourceType, encode_bytes_field};
use bytes::{BufMut, Bytes, BytesMut};
use prost::encoding::{WireType, encode_key, encode_varint};

/// `version_info` of a `DiscoveryResponse`, `system_version_info` of a `DeltaDiscoveryResponse`.
const RESPONSE_VERSION_FIELD: u32 = 1;
/// `resources` of a `DeltaDiscoveryResponse`.
const DELTA_RESOURCES_FIELD: u32 = 2;
/// `type_url` of both responses.
const TYPE_URL_FIELD: u32 = 4;
/// `nonce` of both responses.
const NONCE_FIELD: u32 = 5;
/// `removed_resources` of a `DeltaDiscoveryResponse`.
const REMOVED_RESOURCES_FIELD: u32 = 6;
/// `version` of a `Resource` in a `DeltaDiscoveryResponse`.
const RESOURCE_VERSION_FIELD: u32 = 1;
/// `name` of a `Resource` in a `DeltaDiscoveryResponse`.
const RESOURCE_NAME_FIELD: u32 = 3;

/// A `DiscoveryResponse`, or a `DeltaDiscoveryResponse` if `incremental` is set.
pub(super) struct ResponseMessage<'a> {
    pub(super) resource_type: ResourceType,
    pub(super) incremental: bool,
    /// Hash of all resources of the type in the snapshot, including those that the response omits.
    pub(super) content_hash: u64,
    pub(super) nonce: &'a str,
    pub(super) content: &'a ResponseContent,
}

impl ResponseMessage<'_> {
    /// Returns the message in chunks, to be concatenated.
    pub(super) fn encode(&self, snapshot: &ResourceSnapshot) -> Vec<Bytes> {
        let mut chunks = Vec::with_capacity(2 * self.content.resources.len() + 1);
        for resource in &self.content.resources {
            if self.incremental {
                chunks.push(encode_delta_resource_header(resource, snapshot));
            }
            chunks.push(resource.any.clone());
        }
        chunks.push(self.encode_remaining_fields(snapshot));
        chunks
    }

    fn encode_remaining_fields(&self, snapshot: &ResourceSnapshot) -> Bytes {
        let version_label = snapshot.version_label(self.content_hash);
        let mut out = BytesMut::new();
        encode_bytes_field(RESPONSE_VERSION_FIELD, version_label.as_bytes(), &mut out);
        encode_bytes_field(TYPE_URL_FIELD, self.resource_type.url().as_bytes(), &mut out);
        encode_bytes_field(NONCE_FIELD, self.nonce.as_bytes(), &mut out);
        if self.incremental {
            for name in &self.content.removed {
                encode_bytes_field(REMOVED_RESOURCES_FIELD, name.as_bytes(), &mut out);
            }
        }
        out.freeze()
    }
}

/// The beginning of a `Resource` in a `DeltaDiscoveryResponse`: the fields before `resource`, whose shared bytes
/// follow.
fn encode_delta_resource_header(resource: &Resource, snapshot: &ResourceSnapshot) -> Bytes {
    let version_label = snapshot.version_label(resource.hash);
    let mut fields = BytesMut::new();
    encode_bytes_field(RESOURCE_VERSION_FIELD, version_label.as_bytes(), &mut fields);
    encode_bytes_field(RESOURCE_NAME_FIELD, resource.name.as_bytes(), &mut fields);
    let mut out = BytesMut::new();
    encode_key(DELTA_RESOURCES_FIELD, WireType::LengthDelimited, &mut out);
    encode_varint((fields.len() + resource.any.len()) as u64, &mut out);
    out.put_slice(&fields);
    out.freeze()
}
