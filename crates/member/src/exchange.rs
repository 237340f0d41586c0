//! The messages of a heartbeat.

use std::net::SocketAddr;

use crate::{Digest, Error, Load, Result, Rumor};

/// Maximum length of a failure domain's name, in bytes.
const DOMAIN_LIMIT_BYTES: usize = 128;
/// Maximum number of rumors in one message.
const RUMOR_LIMIT: usize = 256;
/// Maximum number of loads in one message.
const LOAD_LIMIT: usize = 1_024;
/// Maximum number of leaving backend servers in one message.
pub(crate) const MARK_LIMIT: usize = 256;

/// A heartbeat or its answer: the sender's digest, some of its loads and some rumors.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Exchange {
    /// The sender.
    pub digest: Digest,
    /// Loads of the sender; those left out stay as last sent.
    pub loads: Vec<Load>,
    /// Reports on other daemons.
    pub rumors: Vec<Rumor>,
    /// Backend servers that are leaving, without those that only the sender's peers reported.
    #[serde(default)]
    pub marks: Vec<SocketAddr>,
}

impl Exchange {
    /// Checks the lengths in a message received from a peer.
    ///
    /// # Errors
    ///
    /// [`Error::TooLong`] for the first part that exceeds its limit.
    pub fn check(&self) -> Result<()> {
        bounded("failure domain", self.digest.identity.domain.len(), DOMAIN_LIMIT_BYTES)?;
        bounded("rumors", self.rumors.len(), RUMOR_LIMIT)?;
        bounded("loads", self.loads.len(), LOAD_LIMIT)?;
        bounded("marks", self.marks.len(), MARK_LIMIT)
    }
}

fn bounded(part: &'static str, length: usize, limit: usize) -> Result<()> {
    if length > limit {
        return Err(Error::TooLong { part, length, limit });
    }
    Ok(())
}
