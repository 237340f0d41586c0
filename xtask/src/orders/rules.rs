//! What stays the same in all states of one exploration.

use std::time::{Duration, Instant};

use order::Settings;

use super::guard::Guard;

/// Length of one step of the clock.
pub(crate) const STEP: Duration = Duration::from_secs(1);

/// How the orders of a scenario are keyed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Keying {
    /// Numbers in a session whose orders are journaled.
    Journaled,
    /// Numbers in a session whose orders are not journaled.
    Unjournaled,
    /// Keys of the caller's own.
    Own,
}

/// What stays the same in all states of one exploration.
#[derive(Clone, Debug)]
pub(crate) struct Rules {
    pub(crate) name: &'static str,
    pub(crate) origin: Instant,
    pub(crate) guard: Option<Guard>,
    pub(crate) keying: Keying,
    /// Entry hosts.
    pub(crate) hosts: usize,
    /// Orders, each with its own key.
    pub(crate) orders: usize,
    /// Requests for each order; those after the first are repeats.
    pub(crate) copies: usize,
    /// Whether the last copy of each order carries another request under the same key.
    pub(crate) misuse: bool,
    /// Whether the log may drop the records of each stream of orders, once.
    pub(crate) trims: bool,
    /// Faults of any kind.
    pub(crate) faults: u8,
    /// Last step of the clock at which requests are sent.
    pub(crate) last_send: u32,
    /// Steps of the clock from a request to its deadline.
    pub(crate) patience: u32,
    pub(crate) settings: Settings,
}

impl Rules {
    /// Last step of the clock, at which every deadline has passed.
    pub(crate) fn last_step(&self) -> u32 {
        self.last_send + self.patience
    }

    /// The time at a step of the clock.
    pub(crate) fn time(&self, step: u32) -> Instant {
        self.origin + STEP * step
    }

    pub(crate) fn lacks(&self, guard: Guard) -> bool {
        self.guard == Some(guard)
    }
}

impl Default for Rules {
    fn default() -> Self {
        let settings = Settings {
            append_interval: Duration::ZERO,
            append_grace: STEP,
            outcome_delay: Duration::ZERO,
            forward_interval: STEP,
            suspect_after: Duration::ZERO,
            ..Settings::default()
        };
        Self {
            name: "journaled",
            origin: Instant::now(),
            guard: None,
            keying: Keying::Journaled,
            hosts: 2,
            orders: 1,
            copies: 3,
            misuse: false,
            trims: false,
            faults: 2,
            last_send: 1,
            patience: 2,
            settings,
        }
    }
}
