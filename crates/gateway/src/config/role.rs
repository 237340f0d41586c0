//! How a daemon follows the configuration, depending on its place in the fleet.

use std::time::Duration;

/// Number of live peers below which every daemon reads the store.
const SMALL_FLEET: u32 = 8;
/// Daemons that read the store in a larger fleet; the others learn of new configurations from them.
const READERS: u32 = 3;
/// Long-poll time of most daemons in a small fleet. Their read is replaced long before if no
/// confirmation arrives meanwhile.
const LONG_POLL_TIME: Duration = Duration::from_secs(20);
/// Long-poll time of the daemon that confirms the configuration to the others in a small fleet.
const CONFIRMING_POLL_TIME: Duration = Duration::from_secs(2);
/// Long-poll time of a reader in a larger fleet, where the others do not read.
const READER_POLL_TIME: Duration = Duration::from_millis(1_500);
/// Age of the last confirmation from which a read that the store holds back counts as lost in a
/// small fleet: the poll of the confirming daemon and two heartbeats.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(2_600);
/// Part of the time limit for applying a configuration that is reserved for this daemon's own read
/// of the store.
const READ_RESERVE: Duration = Duration::from_millis(700);

/// How a daemon follows the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Reads the store, and tells the peers often that the store has nothing newer.
    Confirming(Duration),
    /// Reads the store and lets it hold the read back for long.
    Waiting,
    /// Reads the store only if no peer confirms the configuration.
    Relying,
}

impl Role {
    /// Role of the daemon at `position` in the order of the live daemons, with `live` live peers.
    #[must_use]
    pub fn new(live: u32, position: u32) -> Self {
        if live < SMALL_FLEET {
            return if position == 0 {
                Self::Confirming(CONFIRMING_POLL_TIME)
            } else {
                Self::Waiting
            };
        }
        if position < READERS { Self::Confirming(READER_POLL_TIME) } else { Self::Relying }
    }

    /// Role of a daemon that has not yet discovered its peers. With a configuration that it has just
    /// read it needs no other confirmation yet.
    #[must_use]
    pub fn undiscovered(has_config: bool) -> Self {
        if has_config { Self::Relying } else { Self::Confirming(READER_POLL_TIME) }
    }

    /// Whether it always has a read in progress.
    #[must_use]
    pub fn reads(self) -> bool {
        self != Self::Relying
    }

    /// Time for which the store may hold back a read.
    #[must_use]
    pub fn poll_time(self) -> Duration {
        match self {
            Self::Confirming(it) => it,
            Self::Waiting => LONG_POLL_TIME,
            Self::Relying => Duration::ZERO,
        }
    }

    /// Age of the newest confirmation, this daemon's own included, from which it must read the
    /// store. `config_apply` is the time limit for applying a configuration.
    #[must_use]
    pub fn max_confirmation_age(self, config_apply: Duration) -> Duration {
        match self {
            Self::Relying => config_apply.saturating_sub(READ_RESERVE),
            _ => MAX_CONFIRMATION_AGE,
        }
    }
}
