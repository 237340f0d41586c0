//! What a run is asked for.

use std::{path::PathBuf, time::Duration};

/// What a run is asked for.
#[derive(Clone, Debug)]
pub struct Options {
    /// Program of the daemon.
    pub daemon: PathBuf,
    /// Folder for settings and logs; it is made anew.
    pub folder: PathBuf,
    /// Seed of the schedule of faults.
    pub seed: u64,
    /// Time during which faults come.
    pub length: Duration,
    /// Daemons that run.
    pub daemons: u8,
    /// Callers, each with one connection.
    pub callers: usize,
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
        }
    }
}
