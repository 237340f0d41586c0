//! What the verbs meet outside of themselves.

use std::{
    io::Read,
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use clock::Clock;
use platform::Log;

use crate::{Error, Result, Settings, admin::Admin};

/// What the verbs meet outside of themselves.
pub struct Context<'a> {
    /// Where the platform and the daemons are.
    pub settings: Settings,
    /// The platform's log.
    pub log: &'a dyn Log,
    /// The daemons.
    pub admin: &'a dyn Admin,
    /// Time.
    pub clock: &'a dyn Clock,
    /// Waits for a while.
    pub sleep: &'a dyn Fn(Duration),
    /// Random numbers that no other call has.
    pub seed: u64,
}

impl Context<'_> {
    /// Admin addresses to start from.
    ///
    /// # Errors
    ///
    /// Fails if the settings name none.
    pub fn seed_addresses(&self) -> Result<&[SocketAddr]> {
        if self.settings.admin_addresses.is_empty() {
            let message = "no host is known; give --admin IP:PORT,… or admin_addresses";
            return Err(Error::Usage(message.to_owned()));
        }
        Ok(&self.settings.admin_addresses)
    }

    /// The team in whose name changes are published.
    ///
    /// # Errors
    ///
    /// Fails if the settings name none.
    pub fn team(&self) -> Result<&str> {
        if self.settings.team.is_empty() {
            let message = "no team is known; give --team NAME or team in the settings";
            return Err(Error::Usage(message.to_owned()));
        }
        Ok(&self.settings.team)
    }

    /// Wall-clock time in seconds since 1970.
    #[must_use]
    pub fn wall_s(&self) -> u64 {
        self.clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_secs()
    }
}

/// The text of a file, or of the standard input if its name is `-`.
///
/// # Errors
///
/// Fails if it can't be read or is no UTF-8.
pub fn read_file(name: &str) -> Result<String> {
    let file_error = |source| Error::File { name: name.to_owned(), source };
    if name != "-" {
        return std::fs::read_to_string(name).map_err(file_error);
    }
    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text).map_err(file_error)?;
    Ok(text)
}
