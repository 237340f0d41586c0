//! Serialization of bytes as base64 text in JSON.

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serializer, de::Error};

pub(crate) fn serialize<S: Serializer>(it: &Bytes, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_str(&BASE64_STANDARD.encode(it))
}

pub(crate) fn deserialize<'a, D: Deserializer<'a>>(from: D) -> Result<Bytes, D::Error> {
    let text = String::deserialize(from)?;
    BASE64_STANDARD.decode(text).map(Bytes::from).map_err(D::Error::custom)
}
