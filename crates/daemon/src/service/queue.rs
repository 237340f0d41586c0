//! The gate of a service with the requests that wait for it.

use std::{collections::HashMap, time::Instant};

use admission::{Event, Gate, RequestId};
use tokio::sync::oneshot;

/// The gate of a service with the requests that wait for it.
pub struct Queue {
    /// Decides who may go.
    pub gate: Gate,
    /// Requests that wait, by their ids.
    pub waiting: HashMap<RequestId, oneshot::Sender<Event>>,
}

impl Queue {
    /// Lets the gate give out another number of slots.
    pub fn set_capacity(&mut self, now: Instant, capacity: u32) {
        let events = self.gate.set_capacity(now, capacity);
        self.deliver(events);
    }

    /// Tells waiting requests what the gate decided about them.
    pub fn deliver(&mut self, events: Vec<Event>) {
        for it in events {
            let (Event::Admit(id) | Event::Expire(id)) = it;
            if let Some(waiting) = self.waiting.remove(&id) {
                // A receiver that is gone gives its slot back by itself.
                let _gone = waiting.send(it);
            }
        }
    }
}
