//! Messages on gRPC streams: requests are decoded, answers were encoded before and are shared.

use bytes::{BufMut, Bytes};
use prost::Message;
use std::marker::PhantomData;
use tonic::Status;
use tonic::codec::{BufferSettings, Codec, DecodeBuf, Decoder, EncodeBuf, Encoder};

/// Reads messages `T`; writes pieces of bytes that are one message together.
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

pub struct ChunkEncoder;

impl Encoder for ChunkEncoder {
    type Item = Vec<Bytes>;
    type Error = Status;

    fn encode(&mut self, pieces: Vec<Bytes>, out: &mut EncodeBuf<'_>) -> Result<(), Status> {
        out.reserve(pieces.iter().map(Bytes::len).sum());
        pieces.into_iter().for_each(|piece| out.put(piece));
        Ok(())
    }

    fn buffer_settings(&self) -> BufferSettings {
        BufferSettings::default()
    }
}

pub struct MessageDecoder<T>(PhantomData<T>);

impl<T: Message + Default> Decoder for MessageDecoder<T> {
    type Item = T;
    type Error = Status;

    fn decode(&mut self, src: &mut DecodeBuf<'_>) -> Result<Option<T>, Status> {
        let read = T::decode(src).map(Some);
        read.map_err(|fault| Status::invalid_argument(format!("a message cannot be read: {fault}")))
    }

    fn buffer_settings(&self) -> BufferSettings {
        BufferSettings::default()
    }
}
