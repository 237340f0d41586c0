//! The admission gate of a service with its queued requests.

use std::{collections::HashMap, time::Instant};

use admission::{Event, Gate, RequestId};
use tokio::sync::oneshot;

/// The admission gate of a service with its queued requests.
pub struct Queue {
    /// Decides which requests are admitted.
    pub gate: Gate,
    /// Queued requests by id.
    pub waiting: HashMap<RequestId, oneshot::Sender<Event>>,
}

impl Queue {
    /// Sets the number of slots and admits queued requests.
    pub fn set_capacity(&mut self, now: Instant, capacity: u32) {
        let events = self.gate.set_capacity(now, capacity);
        self.deliver(events);
    }

    /// Sends the gate's decisions to the queued requests.
    pub fn deliver(&mut self, events: Vec<Event>) {
        for it in events {
            let (Event::Admit(id) | Event::Expire(id)) = it;
            if let Some(waiting) = self.waiting.remove(&id) {
                // If the receiver was dropped, the request's permit releases the slot.
                let _gone = waiting.send(it);
            }
        }
    }
}
