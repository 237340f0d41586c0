//! A simulated backend server.

use std::{collections::VecDeque, time::Duration};

use super::{
    message::{Endpoint, Message, Payload, Response, Work},
    network::{MESSAGE_DELAY, Network},
    step::Step,
};

/// Number of requests that run concurrently.
pub(super) const SLOTS: u32 = 4;
/// Maximum queue length. Further requests are shed.
const QUEUE_LIMIT: usize = 50;
/// Time until a load probe is answered.
const PROBE_DURATION: Duration = Duration::from_millis(6);
/// Factor by which the service time of a slow server grows.
const SLOW_FACTOR: u32 = 8;
/// Delay of late answers. It is longer than any deadline.
const LATE_ANSWER_DELAY: Duration = Duration::from_millis(2_200);

/// A simulated backend server.
pub(super) struct Backend {
    number: usize,
    busy: u32,
    queue: VecDeque<Work>,
    /// The previous answer, which is sent in place of the right one while answers are swapped.
    previous: Option<Payload>,
}

impl Backend {
    pub(super) fn new(number: usize) -> Self {
        Self { number, busy: 0, queue: VecDeque::new(), previous: None }
    }

    /// The load report: requests in slots and in the queue.
    fn load(&self) -> balance::Report {
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        balance::Report { occupied: self.busy, queued }
    }

    pub(super) fn handle(&mut self, message: &Message, net: &mut Network) {
        match *message {
            Message::Work(work) => self.receive(work, net),
            Message::Finish(work) => self.finish(work, net),
            Message::Probe { from } => {
                let load = Message::Load { backend: self.number, load: self.load() };
                net.send(from, PROBE_DURATION, load);
            }
            _ => {}
        }
    }

    fn receive(&mut self, work: Work, net: &mut Network) {
        let Endpoint::Host(host, _) = work.host else { return };
        net.ledger.record_backend_request(self.number, net.now);
        net.reach_job(work.job, Step::RequestRun, host, Some(self.number));
        net.reach_job(work.job, Step::OrderRun, host, Some(self.number));
        let faults = net.backends[self.number];
        if faults.draining_since.is_some() || self.queue.len() >= QUEUE_LIMIT {
            let is_leaving = faults.draining_since.is_some();
            return self.answer(&work, Response::Shed { is_leaving }, MESSAGE_DELAY, net);
        }
        if faults.failing_until > net.now {
            return self.answer(&work, Response::ServerError, MESSAGE_DELAY, net);
        }
        if self.busy < SLOTS {
            self.start(work, net);
        } else {
            self.queue.push_back(work);
        }
    }

    fn start(&mut self, work: Work, net: &mut Network) {
        self.busy += 1;
        net.ledger.record_run(work.job, work.is_order);
        let factor = if net.backends[self.number].slow_until > net.now { SLOW_FACTOR } else { 1 };
        let service = work.service * factor;
        net.send(Endpoint::Backend(self.number), service, Message::Finish(work));
    }

    fn finish(&mut self, work: Work, net: &mut Network) {
        let faults = net.backends[self.number];
        if faults.stalled_until > net.now {
            let rest = faults.stalled_until.saturating_duration_since(net.now);
            return net.send(Endpoint::Backend(self.number), rest, Message::Finish(work));
        }
        self.busy -= 1;
        if let Some(next) = self.queue.pop_front() {
            self.start(next, net);
        }
        let own = Payload { job: work.job, attempt: work.attempt, is_whole: true };
        let previous = self.previous.replace(own).unwrap_or(own);
        let now = net.now;
        let delay = if faults.late_until > now { LATE_ANSWER_DELAY } else { MESSAGE_DELAY };
        let response = if faults.resetting_until > now {
            Response::Reset
        } else if faults.cutting_until > now {
            Response::Answer(Payload { is_whole: false, ..own })
        } else if faults.swapping_until > now {
            Response::Answer(previous)
        } else {
            Response::Answer(own)
        };
        self.answer(&work, response, delay, net);
    }

    fn answer(&self, work: &Work, response: Response, delay: Duration, net: &mut Network) {
        let message = Message::Response { connection: work.attempt, response, load: self.load() };
        net.send(work.host, delay, message);
    }
}
