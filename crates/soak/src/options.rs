//! Parameters of a run.

use std::{path::PathBuf, time::Duration};

use crate::probe;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the daemon's program.
    pub daemon: PathBuf,
    /// Folder for settings and logs. A run deletes it and creates it again.
    pub folder: PathBuf,
    /// Seed of the schedule of faults.
    pub seed: u64,
    /// Time during which faults are injected.
    pub length: Duration,
    /// Number of daemons.
    pub daemons: u8,
    /// Number of callers, each with one connection at a time.
    pub callers: usize,
    /// Whether the only faults are planned stops of the daemons, in turn and overlapping, so that
    /// every request that reached an upstream must be answered.
    pub only_stops: bool,
    /// Time limit for applying a configuration in the daemons' settings. What the soak checks does not
    /// depend on it: with a longer one, daemons refuse requests by outdated configurations.
    pub config_apply: Duration,
    /// Time from the signal to stop until a daemon is killed.
    pub grace: Duration,
}

/// Grace periods of runs with planned stops: that of the deployments, a longer and a shorter one.
const GRACES: [Duration; 3] =
    [Duration::from_secs(6), Duration::from_secs(10), Duration::from_secs(2)];

impl Options {
    /// Sets the grace period that belongs to the seed.
    #[must_use]
    pub fn with_grace_of_seed(self) -> Self {
        let index = usize::try_from(self.seed).unwrap_or_default() % GRACES.len();
        Self { grace: GRACES[index], ..self }
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            daemon: PathBuf::from("target/release/fireflydrumd"),
            folder: PathBuf::from("target/soak"),
            seed: 1,
            length: Duration::from_secs(20),
            daemons: 3,
            callers: 6,
            only_stops: false,
            config_apply: probe::CONFIG_APPLY,
            grace: Duration::from_secs(6),
        }
    }
}
