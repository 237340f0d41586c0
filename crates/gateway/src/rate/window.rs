//! Events counted over a sliding window.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Number of events in a sliding window, counted in steps of a fixed width. An event leaves the window
/// at most one step too late and never too early.
#[derive(Clone, Debug)]
pub struct Window {
    length: Duration,
    step: Duration,
    steps: VecDeque<(Instant, u32)>,
    total: u32,
}

impl Window {
    /// Creates an empty window.
    #[must_use]
    pub fn new(length: Duration, step: Duration) -> Self {
        Self { length, step, steps: VecDeque::new(), total: 0 }
    }

    /// Sets the length of the window.
    pub fn set_length(&mut self, length: Duration) {
        self.length = length;
    }

    /// Counts an event.
    pub fn add(&mut self, now: Instant) {
        self.total += 1;
        match self.steps.back_mut() {
            Some((at, count)) if now.saturating_duration_since(*at) < self.step => *count += 1,
            _ => self.steps.push_back((now, 1)),
        }
    }

    /// Number of events in the window that ends at `now`.
    pub fn total(&mut self, now: Instant) -> u32 {
        let length = self.length + self.step;
        while let Some((at, count)) = self.steps.front().copied()
            && now.saturating_duration_since(at) >= length
        {
            self.total -= count;
            self.steps.pop_front();
        }
        self.total
    }

    /// Number of events within `time` before `now`.
    #[must_use]
    pub fn recent(&self, now: Instant, time: Duration) -> u32 {
        let is_recent =
            |it: &&(Instant, u32)| now.saturating_duration_since(it.0) < time + self.step;
        self.steps.iter().rev().take_while(is_recent).map(|it| it.1).sum()
    }

    /// Time until `count` events have left the window.
    #[must_use]
    pub fn time_until(&self, now: Instant, count: u32) -> Duration {
        let mut left = count;
        let mut last = now;
        for (at, it) in &self.steps {
            last = *at + self.length + self.step;
            left = left.saturating_sub(*it);
            if left == 0 {
                break;
            }
        }
        last.saturating_duration_since(now)
    }
}
