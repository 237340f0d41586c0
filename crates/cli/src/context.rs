//! External dependencies of the verbs.

use std::{
    io::Read,
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use clock::Clock;
use platform::Log;

use crate::{Error, Result, Settings, admin::Admin};

/// External dependencies of the verbs.
pub struct Context<'a> {
    /// Addresses of the platform and the daemons, and the team.
    pub settings: Settings,
    /// The platform's log.
    pub log: &'a dyn Log,
    /// Client of the daemons.
    pub admin: &'a dyn Admin,
    /// Source of time.
    pub clock: &'a dyn Clock,
    /// Blocks for a duration.
    pub sleep: &'a dyn Fn(Duration),
    /// Seed of random numbers, different in each run.
    pub seed: u64,
}

impl Context<'_> {
    /// Admin addresses from the settings, from which the other hosts are discovered.
    ///
    /// # Errors
    ///
    /// Fails if the settings have no admin address.
    pub fn seed_addresses(&self) -> Result<&[SocketAddr]> {
        if self.settings.admin_addresses.is_empty() {
            let message = "no admin address; give --admin IP:PORT,… or admin_addresses";
            return Err(Error::Usage(message.to_owned()));
        }
        Ok(&self.settings.admin_addresses)
    }

    /// The team in whose name changes are published.
    ///
    /// # Errors
    ///
    /// Fails if the settings have no team.
    pub fn team(&self) -> Result<&str> {
        if self.settings.team.is_empty() {
            let message = "no team; give --team NAME or team in the settings";
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

/// Reads a file, or the standard input if the name is `-`.
///
/// # Errors
///
/// Fails if the file can't be read or isn't UTF-8.
pub fn read_file(name: &str) -> Result<String> {
    let file_error = |source| Error::File { name: name.to_owned(), source };
    if name != "-" {
        return std::fs::read_to_string(name).map_err(file_error);
    }
    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text).map_err(file_error)?;
    Ok(text)
}
