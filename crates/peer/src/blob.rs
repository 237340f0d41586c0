//! Bytes in a JSON message.

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

/// Bytes in a JSON message, encoded in base64.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Blob(pub Bytes);

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&BASE64_STANDARD.encode(&self.0))
    }
}

impl<'a> Deserialize<'a> for Blob {
    fn deserialize<D: Deserializer<'a>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        BASE64_STANDARD.decode(text).map(|it| Self(Bytes::from(it))).map_err(D::Error::custom)
    }
}
