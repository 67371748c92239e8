//! Messages on gRPC streams: requests are decoded, answers were encoded before and are shared.

use bytes::{BufMut, Bytes};
use prost::Message;
use std::marker::PhantomData;
use tonic::Status;
use tonic::codec::{BufferSettings, Codec, DecodeBuf, Decoder, EncodeBuf, Encoder};

/// Reads messages `T`; writes pieces of bytes that are one message together.
pub struct Pieces<T>(PhantomData<T>);

impl<T> Default for Pieces<T> {
    fn default() -> Self {
        Pieces(PhantomData)
    }
}

impl<T: Message + Default + Send + 'static> Codec for Pieces<T> {
    type Encode = Vec<Bytes>;
    type Decode = T;
    type Encoder = Writer;
    type Decoder = Reader<T>;

    fn encoder(&mut self) -> Writer {
        Writer
    }

    fn decoder(&mut self) -> Reader<T> {
        Reader(PhantomData)
    }
}

pub struct Writer;

impl Encoder for Writer {
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

pub struct Reader<T>(PhantomData<T>);

impl<T: Message + Default> Decoder for Reader<T> {
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
