//! A compressed record of a configuration.

use std::{
    fmt,
    io::{self, Read, Write},
    net::SocketAddr,
};

use base64::{Engine, prelude::BASE64_STANDARD};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

use super::{MAX_ANSWER_BYTES, Record};

/// A record of a configuration with its value compressed (RFC 1951) and in base64. Configurations
/// with many routes consist mostly of the same names.
#[derive(Clone, serde::Deserialize, serde::Serialize)]
pub(super) struct Compressed {
    key: String,
    value: String,
}

impl Compressed {
    /// Compresses a record; logs why it can't be.
    pub(super) fn new(record: &Record) -> Option<Self> {
        let value = compress(record.value.as_bytes())
            .inspect_err(|e| log::error!("event=config-not-shared error=\"{e}\""))
            .ok()?;
        Some(Self { key: record.key.clone(), value })
    }

    /// Restores the record; logs why it can't be. A value that is larger than any answer is
    /// malformed.
    pub(super) fn into_record(self, from: SocketAddr) -> Option<Record> {
        let value = decompress(&self.value)
            .inspect_err(|e| log::warn!("event=config-malformed peer={from} error=\"{e}\""))
            .ok()?;
        Some(Record { key: self.key, value })
    }
}

impl fmt::Debug for Compressed {
    /// Omits the value.
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_struct("Compressed").field("key", &self.key).finish_non_exhaustive()
    }
}

fn compress(value: &[u8]) -> io::Result<String> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(value)?;
    Ok(BASE64_STANDARD.encode(encoder.finish()?))
}

fn decompress(value: &str) -> io::Result<String> {
    let bytes = BASE64_STANDARD.decode(value).map_err(io::Error::other)?;
    let limit = u64::from(MAX_ANSWER_BYTES);
    let mut text = String::new();
    DeflateDecoder::new(&*bytes).take(limit + 1).read_to_string(&mut text)?;
    if text.len() as u64 > limit {
        return Err(io::Error::other(format!("more than {limit} bytes")));
    }
    Ok(text)
}
