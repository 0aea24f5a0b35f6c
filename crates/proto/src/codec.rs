//! The MessagePack codec for messages between hosts, with field names.
//!
//! Field names cost bytes, but allow adding a field without breaking hosts of the previous version,
//! which are upgraded one by one. Histories hold free-form JSON, so the encoding must be
//! self-describing.

use {
    bytes::{Bytes, BytesMut},
    serde::{Serialize, de::DeserializeOwned},
    std::{io, marker::PhantomData, pin::Pin},
    tokio_serde::{Deserializer, Serializer},
};

/// Encodes and decodes the messages of one connection.
pub(crate) struct MessagePack<Item, SinkItem> {
    types: PhantomData<fn(SinkItem) -> Item>,
}

impl<Item, SinkItem> Default for MessagePack<Item, SinkItem> {
    fn default() -> Self {
        Self { types: PhantomData }
    }
}

impl<Item, SinkItem: Serialize> Serializer<SinkItem> for MessagePack<Item, SinkItem> {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &SinkItem) -> io::Result<Bytes> {
        rmp_serde::to_vec_named(item).map(Bytes::from).map_err(io::Error::other)
    }
}

impl<Item: DeserializeOwned, SinkItem> Deserializer<Item> for MessagePack<Item, SinkItem> {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, source: &BytesMut) -> io::Result<Item> {
        let invalid = |error| io::Error::new(io::ErrorKind::InvalidData, error);
        rmp_serde::from_slice(source).map_err(invalid)
    }
}
