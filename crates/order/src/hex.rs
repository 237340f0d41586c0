//! Serialization of integers as hexadecimal text in JSON, because not every JSON parser supports 64
//! bits.

use serde::{Deserialize, Deserializer, Serializer, de::Error};

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde calls it with a reference")]
pub(crate) fn serialize<S: Serializer>(it: &u64, to: S) -> Result<S::Ok, S::Error> {
    to.collect_str(&format_args!("{it:016x}"))
}

pub(crate) fn deserialize<'a, D: Deserializer<'a>>(from: D) -> Result<u64, D::Error> {
    let text = String::deserialize(from)?;
    u64::from_str_radix(&text, 16).map_err(D::Error::custom)
}
