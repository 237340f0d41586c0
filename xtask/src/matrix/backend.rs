//! A backend server with a few slots.

use std::{collections::VecDeque, time::Duration};

use super::{
    message::{Message, Node, Payload, Wire, Work},
    net::{HOP, Net},
    step::Step,
};

/// Requests worked on at once.
pub(super) const SLOTS: u32 = 4;
/// Requests that may wait; further ones are shed.
const QUEUE_LIMIT: usize = 50;
/// Time of a load probe.
const PROBE_TIME: Duration = Duration::from_millis(6);
/// Factor on service times of a slow server.
const SLOWNESS: u32 = 8;
/// Delay of late answers; longer than any deadline.
const LATENESS: Duration = Duration::from_millis(2_200);

/// A backend server.
pub(super) struct Backend {
    number: usize,
    busy: u32,
    waiting: VecDeque<Work>,
    /// The answer before the last, for answers that go astray.
    previous: Option<Payload>,
}

impl Backend {
    pub(super) fn new(number: usize) -> Self {
        Self { number, busy: 0, waiting: VecDeque::new(), previous: None }
    }

    /// Requests at work or waiting.
    fn load(&self) -> balance::Report {
        let queued = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        balance::Report { occupied: self.busy, queued }
    }

    pub(super) fn take(&mut self, message: &Message, net: &mut Net) {
        match *message {
            Message::Work(work) => self.arrive(work, net),
            Message::Finish(work) => self.finish(work, net),
            Message::Probe { from } => {
                let load = Message::Load { backend: self.number, load: self.load() };
                net.send(from, PROBE_TIME, load);
            }
            _ => {}
        }
    }

    fn arrive(&mut self, work: Work, net: &mut Net) {
        let Node::Host(host, _) = work.host else { return };
        net.ledger.backend_got_work(self.number, net.now);
        net.reach_job(work.job, Step::RequestRun, host, Some(self.number));
        net.reach_job(work.job, Step::OrderRun, host, Some(self.number));
        let faults = net.backends[self.number];
        if faults.drains.is_some() || self.waiting.len() >= QUEUE_LIMIT {
            let is_leaving = faults.drains.is_some();
            return self.answer(&work, Wire::Shed { is_leaving }, HOP, net);
        }
        if faults.fails_fast > net.now {
            return self.answer(&work, Wire::ServerError, HOP, net);
        }
        if self.busy < SLOTS {
            self.start(work, net);
        } else {
            self.waiting.push_back(work);
        }
    }

    fn start(&mut self, work: Work, net: &mut Net) {
        self.busy += 1;
        net.ledger.ran(work.job, work.is_order);
        let factor = if net.backends[self.number].slow > net.now { SLOWNESS } else { 1 };
        let service = work.service * factor;
        net.send(Node::Backend(self.number), service, Message::Finish(work));
    }

    fn finish(&mut self, work: Work, net: &mut Net) {
        let faults = net.backends[self.number];
        if faults.stalled > net.now {
            let rest = faults.stalled.saturating_duration_since(net.now);
            return net.send(Node::Backend(self.number), rest, Message::Finish(work));
        }
        self.busy -= 1;
        if let Some(next) = self.waiting.pop_front() {
            self.start(next, net);
        }
        let own = Payload { job: work.job, attempt: work.attempt, is_whole: true };
        let previous = self.previous.replace(own).unwrap_or(own);
        let now = net.now;
        let delay = if faults.late > now { LATENESS } else { HOP };
        let wire = if faults.resets > now {
            Wire::Reset
        } else if faults.cuts > now {
            Wire::Answer(Payload { is_whole: false, ..own })
        } else if faults.swaps > now {
            Wire::Answer(previous)
        } else {
            Wire::Answer(own)
        };
        self.answer(&work, wire, delay, net);
    }

    fn answer(&self, work: &Work, wire: Wire, delay: Duration, net: &mut Net) {
        let message = Message::Wire { connection: work.attempt, wire, load: self.load() };
        net.send(work.host, delay, message);
    }
}
