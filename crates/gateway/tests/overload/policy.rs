//! Policy of a daemon's queue, as used by the simulation.

use std::time::{Duration, Instant};

use gateway::load::Waiter;

/// Policy of a daemon's queue.
pub trait Policy {
    /// Creates an empty queue of a daemon that may expect `slots` for itself.
    fn new(slots: f64, seed: u64) -> Self;
    /// Sets the number of slots that the daemon may expect for itself.
    fn set_slots(&mut self, slots: f64);
    /// Whether no request waits.
    fn is_empty(&self) -> bool;
    /// Records a request that was sent without waiting.
    fn record_sent(&mut self, now: Instant, waiter: &Waiter);
    /// Adds a request, or refuses it with the time after which its caller should come back.
    fn offer(&mut self, now: Instant, waiter: Waiter) -> Result<u64, Duration>;
    /// Requests that no longer wait, with the times after which their callers should come back.
    fn tick(&mut self, now: Instant) -> Vec<(u64, Duration)>;
    /// Takes the request that is given the next free slot.
    fn next(&mut self, now: Instant) -> Option<u64>;
}
