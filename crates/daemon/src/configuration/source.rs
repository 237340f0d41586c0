//! Where a daemon may learn the configuration from besides the log.

use bytes::Bytes;

/// No peers at all.
#[derive(Clone, Copy, Debug)]
pub struct Nobody;

impl Source for Nobody {
    fn newer_than(&self, _end: document::Offset) -> Option<Bytes> {
        None
    }
}

/// Peers that may hold a newer configuration.
pub trait Source: Send {
    /// A snapshot from a peer whose configuration is newer than `end`, if one is at hand.
    fn newer_than(&self, end: document::Offset) -> Option<Bytes>;
}
