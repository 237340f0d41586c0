//! The parameters of a search or a random walk.

use std::time::{Duration, Instant};

use order::Settings;

use super::guard::Guard;

/// Time between two steps of the clock.
pub(crate) const STEP: Duration = Duration::from_secs(1);

/// Kind of key that the orders of a scenario carry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Keying {
    /// Numbers in a journaled session.
    Journaled,
    /// Numbers in an unjournaled session.
    Unjournaled,
    /// Keys that the caller chooses.
    Own,
}

/// The parameters of a search or a random walk.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) origin: Instant,
    pub(crate) disabled_guard: Option<Guard>,
    pub(crate) keying: Keying,
    /// Number of entry hosts.
    pub(crate) hosts: usize,
    /// Number of orders, each with its own key.
    pub(crate) orders: usize,
    /// Number of requests for each order. Those after the first are repetitions.
    pub(crate) copies: usize,
    /// Whether the last copy of each order carries different content under the same key.
    pub(crate) misuses_key: bool,
    /// Whether the log may drop the records of each stream of orders once.
    pub(crate) trims_log: bool,
    /// Maximum number of faults.
    pub(crate) faults: u8,
    /// Last step of the clock at which requests may be sent.
    pub(crate) last_send: u32,
    /// Number of clock steps from sending a request to its deadline.
    pub(crate) deadline_steps: u32,
    pub(crate) settings: Settings,
}

impl Scenario {
    /// Last step of the clock. All deadlines have passed by then.
    pub(crate) fn last_step(&self) -> u32 {
        self.last_send + self.deadline_steps
    }

    pub(crate) fn time(&self, step: u32) -> Instant {
        self.origin + STEP * step
    }

    pub(crate) fn is_disabled(&self, guard: Guard) -> bool {
        self.disabled_guard == Some(guard)
    }
}

impl Default for Scenario {
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
            disabled_guard: None,
            keying: Keying::Journaled,
            hosts: 2,
            orders: 1,
            copies: 3,
            misuses_key: false,
            trims_log: false,
            faults: 2,
            last_send: 1,
            deadline_steps: 2,
            settings,
        }
    }
}
