//! The gRPC codec of all streams: decodes requests as protobuf messages, and sends responses that are already encoded.

use bytes::{BufMut, Bytes};
use prost::Message;
use std::marker::PhantomData;
use tonic::Status;
use tonic::codec::{BufferSettings, Codec, DecodeBuf, Decoder, EncodeBuf, Encoder};

/// Decodes messages of type `T`, and sends messages that are already encoded, each as a list of chunks.
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

/// Concatenates the chunks of one encoded message.
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

/// Decodes protobuf messages of type `T`. A malformed one closes the stream with `INVALID_ARGUMENT`.
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
