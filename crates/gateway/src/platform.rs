//! Interface to the platform: a store with keyed topics, and the formats of its records.
//!
//! The adapter implements this and takes no decisions. Timeouts, retries and the handling of failed
//! calls are up to the callers in this crate.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;

use crate::{
    config::Config,
    registry::{Domain, Registration},
    wire::Protocol,
};

/// Position of a record in a topic.
pub type Offset = u64;
/// Number of times that the store has come back from an older copy; 0 if it doesn't say. Offsets of
/// different eras can't be compared.
pub type Era = u64;
/// A value, or why the call failed.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A keyed topic of the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Topic {
    /// Configurations published by operators.
    Config,
    /// Registrations of upstreams.
    Upstreams,
    /// Peer addresses of entry hosts.
    Hosts,
}

/// Why a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be opened, or it broke.
    #[error("connection: {0}")]
    Connection(String),
    /// The store did not answer in time.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    /// The store refused the call without effect.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The topic has no record at the requested offset: it was deleted, or the topic ends before it.
    #[error("no record at this offset, the oldest is at {first:?}")]
    Deleted {
        /// Oldest remaining offset, if the store says it.
        first: Option<Offset>,
    },
    /// The answer violates the protocol.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// A record of a keyed topic. The value of a configuration holds the tenants' keys.
#[derive(Clone, Eq, PartialEq)]
pub struct Record {
    /// Offset in the topic.
    pub offset: Offset,
    /// Key of the record.
    pub key: String,
    /// Value; `None` if the key was removed.
    pub value: Option<Bytes>,
}

impl fmt::Debug for Record {
    /// Shows only the length of the value.
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bytes = self.value.as_ref().map(Bytes::len);
        let mut out = out.debug_struct("Record");
        out.field("offset", &self.offset).field("key", &self.key).field("bytes", &bytes).finish()
    }
}

/// Records of a topic and the offset of the next read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Batch {
    /// Records in the order in which they were written.
    pub records: Vec<Record>,
    /// Offset after the last record. Below the offset that was read from if the topic ends before
    /// it, because the store's offsets have restarted.
    pub end: Offset,
    /// Era of the store in which the offsets hold.
    pub era: Era,
    /// Whether the records reach the end of the topic. Otherwise the next read continues.
    pub is_complete: bool,
}

/// Client of the platform's store, and decoder of the platform's formats.
pub trait Platform: 'static {
    /// Header names, paths and formats that callers and upstreams use.
    fn protocol(&self) -> Protocol;

    /// Reads the newest record of each key of a topic.
    fn newest(&self, topic: Topic) -> impl Future<Output = Result<Batch>>;

    /// Reads records of `topic` from an offset on. If there are none, the store waits up to `wait`
    /// for one (long polling).
    fn read(
        &self,
        topic: Topic,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch>>;

    /// Appends a record to a keyed topic; without a value, the key is removed. Returns the era of the
    /// store, which may lose the record when a later one begins.
    fn append(
        &self,
        topic: Topic,
        key: &str,
        value: Option<&[u8]>,
    ) -> impl Future<Output = Result<Era>>;

    /// Decodes a record of [`Topic::Config`]; returns `None` if the record holds something else.
    ///
    /// # Errors
    ///
    /// The findings about the text, each with its place.
    fn config(&self, key: &str, value: &[u8]) -> Option<Result<Config, Vec<String>>>;

    /// Decodes the key of a record of [`Topic::Config`] that evacuates a failure domain; returns `None`
    /// if the key has another meaning. The domain may be empty or longer than permitted.
    fn evacuation(&self, key: &str) -> Option<Domain>;

    /// Decodes a record of [`Topic::Upstreams`].
    ///
    /// # Errors
    ///
    /// Why the record is not a registration.
    fn registration(&self, key: &str, value: &[u8]) -> Result<Registration, String>;

    /// Makes further calls to the store at another address, which changed settings name. A platform
    /// without one has nothing to do.
    fn set_store_address(&self, _address: SocketAddr) {}
}
