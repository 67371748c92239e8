//! The gRPC codec of all streams: requests are decoded as protobuf messages, responses are chunks encoded earlier.

use bytes::{BufMut, Bytes};
use prost::Message;
use std::marker::PhantomData;
use tonic::Status;
use tonic::codec::{BufferSettings, Codec, DecodeBuf, Decoder, EncodeBuf, Encoder};

/// Decodes messages `T`; encodes the chunks of one message.
pub struct ChunkCodec<T>(PhantomData<T>);

impl<T> Default for ChunkCodec<T> {
    fn default() -> Self {
        ChunkCodec(PhantomData)
    }
}

impl<T: Message + Default + Send + 'static> Codec for ChunkCodec<T> {
    type Encode = Vec<Bytes>;
    type Decode = T;
    type Encoder = ChunkEncoder;
    type Decoder = MessageDecoder<T>;

    fn encoder(&mut self) -> ChunkEncoder {
        ChunkEncoder
    }

    fn decoder(&mut self) -> MessageDecoder<T> {
        MessageDecoder(PhantomData)
    }
}

/// Writes the chunks of a message in their order.
pub struct ChunkEncoder;

impl Encoder for ChunkEncoder {
    type Item = Vec<Bytes>;
    type Error = Status;

    fn encode(&mut self, chunks: Vec<Bytes>, out: &mut EncodeBuf<'_>) -> Result<(), Status> {
        out.reserve(chunks.iter().map(Bytes::len).sum());
        for chunk in chunks {
            out.put(chunk);
        }
        Ok(())
    }

    fn buffer_settings(&self) -> BufferSettings {
        BufferSettings::default()
    }
}

/// Decodes one protobuf message.
pub struct MessageDecoder<T>(PhantomData<T>);

impl<T: Message + Default> Decoder for MessageDecoder<T> {
    type Item = T;
    type Error = Status;

    fn decode(&mut self, src: &mut DecodeBuf<'_>) -> Result<Option<T>, Status> {
        match T::decode(src) {
            Ok(message) => Ok(Some(message)),
            Err(error) => Err(Status::invalid_argument(format!("message cannot be read: {error}"))),
        }
    }

    fn buffer_settings(&self) -> BufferSettings {
        BufferSettings::default()
    }
}
