//! Progress of a planned stop.

use std::cell::Cell;

use tokio::sync::Notify;

use super::Schedule;

/// Progress of a planned stop, which the tasks of a daemon wait for.
#[derive(Debug, Default)]
pub struct State {
    schedule: Cell<Option<Schedule>>,
    begun: Notify,
    has_ended_requests: Cell<bool>,
    ended_requests: Notify,
}

impl State {
    /// Starts the stop.
    pub fn begin(&self, schedule: Schedule) {
        self.schedule.set(Some(schedule));
        self.begun.notify_waiters();
    }

    /// The schedule, once the stop has begun.
    #[must_use]
    pub fn schedule(&self) -> Option<Schedule> {
        self.schedule.get()
    }

    /// Waits until the stop begins.
    pub async fn begun(&self) -> Schedule {
        loop {
            if let Some(it) = self.schedule.get() {
                return it;
            }
            self.begun.notified().await;
        }
    }

    /// Makes all requests in progress end with an answer of the daemon itself.
    pub fn end_requests(&self) {
        self.has_ended_requests.set(true);
        self.ended_requests.notify_waiters();
    }

    /// Waits until requests in progress must end.
    pub async fn requests_ended(&self) {
        if !self.has_ended_requests.get() {
            self.ended_requests.notified().await;
        }
    }
}
