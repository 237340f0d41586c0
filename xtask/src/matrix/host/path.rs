//! The path of a request: admission, choice, attempts, reply.

use std::time::Duration;

use admission::Verdict;
use balance::{Completion, Outcome, Report};
use order::{Event, Reason, Ticket};

use super::{
    Host, backend,
    task::{Flight, Origin, Task},
};
use crate::matrix::{
    guard::Guard,
    message::{Attempt, Call, Message, Node, Payload, Reply, Wire, Work},
    net::{HOP, HOSTS, Net},
    step::Step,
};

/// Attempts for one request at most.
const ATTEMPTS: usize = 3;
/// Time to set up a connection.
const CONNECT: Duration = Duration::from_millis(1);

impl Host {
    pub(super) fn call(&mut self, call: Call, net: &mut Net) {
        if self.version.is_none() || self.turns_away(net) {
            // An order may have run before, so nothing certain is said about it here.
            let reply = if call.key.is_some() { Reply::Unknown } else { Reply::NotRun };
            return tell(&call, reply, net);
        }
        net.ledger.host_took_work(self.number, net.now);
        net.ledger.note_traffic(net.now);
        self.served += 1;
        net.reach_job(call.job, Step::RequestAccept, self.number, None);
        if self.number == HOSTS - 1 {
            net.reach(Step::HostServe, self.number, None);
        }
        let ticket = self.open(call, Origin::Caller, net);
        match call.key {
            Some(key) => self.submit(ticket, key, net),
            None => self.admit(ticket, net),
        }
    }

    /// Takes note of a request and its deadline.
    pub(super) fn open(&mut self, call: Call, origin: Origin, net: &mut Net) -> Ticket {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.tasks.insert(ticket, Task::new(call, origin));
        let left = call.deadline.saturating_duration_since(net.now);
        net.send(self.node(), left, Message::Deadline(ticket));
        ticket
    }

    pub(super) fn admit(&mut self, ticket: Ticket, net: &mut Net) {
        let Some(task) = self.tasks.get_mut(&ticket) else { return };
        task.is_running = true;
        let call = task.call;
        let request = admission::Request {
            id: ticket,
            rank: call.rank.into(),
            caller: call.caller.to_string().into(),
            deadline: call.deadline,
            expected: call.service(),
        };
        match self.gate.offer(net.now, request) {
            Verdict::Admitted => self.choose(ticket, net),
            Verdict::Refused(_) => self.end(ticket, Reply::NotRun, net),
            Verdict::Queued { displaced } => {
                net.reach_job(call.job, Step::RequestQueue, self.number, None);
                if let Some(it) = displaced {
                    self.end(it.id, Reply::NotRun, net);
                }
            }
        }
    }

    pub(super) fn choose(&mut self, ticket: Ticket, net: &mut Net) {
        let Some(task) = self.tasks.get_mut(&ticket) else { return };
        let job = task.call.job;
        net.reach_job(job, Step::RequestChoose, self.number, None);
        match self.balancer.choose(net.now, &task.tried) {
            Ok(choice) => {
                let id = choice.dispatch.upstream().clone();
                let chosen = backend(&id);
                task.tried.push(id);
                net.reach_job(job, Step::RequestConnect, self.number, Some(chosen));
                let attempt = net.job();
                let (dispatch, since) = (choice.dispatch, net.now);
                let flight = Flight { dispatch, attempt, backend: chosen, since, is_sent: false };
                task.flight = Some(flight);
                self.attempts.insert(attempt, ticket);
                let is_refused = net.backends[chosen].refuses > net.now;
                net.send(self.node(), CONNECT, Message::Connected { attempt, is_refused });
            }
            Err(refusal) => {
                let is_full = refusal.reason == balance::Reason::Full;
                if is_full && net.now + refusal.retry_after < task.call.deadline {
                    net.send(self.node(), refusal.retry_after, Message::Retry(ticket));
                } else {
                    let reply = if task.may_have_run { Reply::Unknown } else { Reply::NotRun };
                    self.end(ticket, reply, net);
                }
            }
        }
    }

    pub(super) fn connected(&mut self, attempt: Attempt, is_refused: bool, net: &mut Net) {
        let Some(&ticket) = self.attempts.get(&attempt) else { return };
        if is_refused {
            self.land(ticket, Outcome::NotSent, None, net);
            return self.try_again(ticket, false, net);
        }
        let Some(task) = self.tasks.get_mut(&ticket) else { return };
        let call = task.call;
        let Some(flight) = &mut task.flight else { return };
        if let Some(key) = call.key {
            net.reach_job(call.job, Step::OrderPermit, self.number, Some(flight.backend));
            let refused = self.engine.permit(&key, net.now).is_err();
            if refused && net.guards(Guard::NoSecondDispatch) && net.guards(Guard::Issuer) {
                return self.end(ticket, Reply::NotRun, net);
            }
        }
        net.reach_job(call.job, Step::RequestSend, self.number, Some(flight.backend));
        flight.is_sent = true;
        let work = Work {
            host: Node::Host(self.number, self.life),
            attempt,
            job: call.job,
            is_order: call.key.is_some(),
            service: call.service(),
        };
        net.send(Node::Backend(flight.backend), HOP, Message::Work(work));
    }

    pub(super) fn wire(&mut self, connection: Attempt, wire: Wire, load: Report, net: &mut Net) {
        let Some(&ticket) = self.attempts.get(&connection) else {
            return self.take_late(connection, wire, net);
        };
        let Some(task) = self.tasks.get(&ticket) else { return };
        let upstream = task.flight.as_ref().map(|it| it.backend);
        net.reach_job(task.call.job, Step::RequestAnswer, self.number, upstream);
        net.reach_job(task.call.job, Step::OrderAnswer, self.number, upstream);
        match wire {
            Wire::Answer(it) if is_good(&it, connection, net) => {
                self.land(ticket, Outcome::Success, Some(load), net);
                self.retries.record_success();
                self.end(ticket, Reply::Done(it), net);
            }
            Wire::Shed { is_leaving } => {
                self.land(ticket, Outcome::Overload, Some(load), net);
                if is_leaving {
                    self.shedding.extend(upstream);
                    self.mark_leaving_upstreams(net);
                }
                self.try_again(ticket, false, net);
            }
            Wire::Answer(_) | Wire::Reset | Wire::ServerError => {
                self.land(ticket, Outcome::Failure, None, net);
                self.try_again(ticket, true, net);
            }
        }
    }

    /// Tries another upstream after a failed attempt, if that is safe.
    fn try_again(&mut self, ticket: Ticket, may_have_run: bool, net: &mut Net) {
        let Some(task) = self.tasks.get_mut(&ticket) else { return };
        task.may_have_run |= may_have_run && net.guards(Guard::MaybeSent);
        let is_safe =
            !may_have_run || task.call.is_idempotent || !net.guards(Guard::NoSecondDispatch);
        let may_have_run = task.may_have_run;
        let is_affordable = !may_have_run || self.retries.try_retry(net.now);
        if !is_safe || task.tried.len() >= ATTEMPTS || !is_affordable {
            let reply = if may_have_run { Reply::Unknown } else { Reply::NotRun };
            return self.end(ticket, reply, net);
        }
        if let Some(key) = task.call.key {
            self.event(Event::Unsent(key), net);
        }
        self.choose(ticket, net);
    }

    /// Ends a request at its deadline.
    pub(super) fn give_up(&mut self, ticket: Ticket, net: &mut Net) {
        let Some(task) = self.tasks.get(&ticket) else { return };
        if !task.is_running {
            self.event(Event::Tick, net);
            if self.tasks.remove(&ticket).is_some() {
                self.event(Event::Abandoned(ticket), net);
            }
            return;
        }
        let is_sent = task.flight.as_ref().is_some_and(|it| it.is_sent);
        if let (Some(key), Some(flight)) = (task.call.key, &task.flight) {
            self.late.insert(flight.attempt, (key, task.call.job));
        }
        let may_have_run = (task.may_have_run || is_sent) && net.guards(Guard::MaybeSent);
        let reply = if may_have_run { Reply::Unknown } else { Reply::NotRun };
        self.end(ticket, reply, net);
    }

    /// Takes the answer of an attempt that was given up.
    fn take_late(&mut self, connection: Attempt, wire: Wire, net: &mut Net) {
        let Some((key, job)) = self.late.remove(&connection) else { return };
        if let Wire::Answer(it) = wire
            && is_good(&it, connection, net)
            && it.job == job
        {
            self.event(Event::Finished(key, super::orders::done(&it)), net);
        }
    }

    /// Tells the balancer how the attempt in flight ended.
    fn land(&mut self, ticket: Ticket, outcome: Outcome, report: Option<Report>, net: &mut Net) {
        let Some(flight) = self.tasks.get_mut(&ticket).and_then(|it| it.flight.take()) else {
            return;
        };
        self.attempts.remove(&flight.attempt);
        let latency = net.now.saturating_duration_since(flight.since);
        self.balancer.finished(net.now, flight.dispatch, Completion { outcome, latency, report });
    }

    /// Ends a request: gives back what it holds, records the order's outcome, replies.
    pub(super) fn end(&mut self, ticket: Ticket, reply: Reply, net: &mut Net) {
        let outcome = match reply {
            Reply::Unknown => Outcome::Failure,
            Reply::Done(_) | Reply::NotRun => Outcome::Cancelled,
        };
        self.land(ticket, outcome, None, net);
        let Some(task) = self.tasks.remove(&ticket) else { return };
        if let Some(key) = task.call.key {
            let outcome = match reply {
                Reply::Done(it) => super::orders::done(&it),
                Reply::NotRun => order::Outcome::NotRun(Reason::Refused),
                Reply::Unknown => order::Outcome::Unknown(Reason::Interrupted),
            };
            self.event(Event::Finished(key, outcome), net);
        }
        self.reply(&task, reply, net);
        let served = matches!(reply, Reply::Done(_)).then(|| task.call.service());
        let events = match served {
            Some(it) => self.gate.release(net.now, ticket, Some(it)),
            None => self.gate.cancel(net.now, ticket),
        };
        self.follow_gate(&events, net);
    }

    pub(super) fn reply(&self, task: &Task, reply: Reply, net: &mut Net) {
        match task.origin {
            Origin::Caller => {
                net.reach_job(task.call.job, Step::RequestReply, self.number, None);
                tell(&task.call, reply, net);
            }
            Origin::Peer { host, ticket } => {
                let outcome = match reply {
                    Reply::Done(it) => super::orders::done(&it),
                    Reply::NotRun => order::Outcome::NotRun(Reason::Refused),
                    Reply::Unknown => order::Outcome::Unknown(Reason::Interrupted),
                };
                net.send_peer(self.number, host, Message::Forwarded { ticket, outcome });
            }
        }
    }

    pub(super) fn follow_gate(&mut self, events: &[admission::Event], net: &mut Net) {
        for event in events {
            match *event {
                admission::Event::Admit(ticket) => self.choose(ticket, net),
                admission::Event::Expire(ticket) => self.end(ticket, Reply::NotRun, net),
            }
        }
    }
}

fn is_good(payload: &Payload, connection: Attempt, net: &Net) -> bool {
    let is_own = payload.attempt == connection || !net.guards(Guard::AttemptId);
    let is_whole = payload.is_whole || !net.guards(Guard::WholeAnswer);
    is_own && is_whole
}

/// Tells a caller the outcome of its request.
fn tell(call: &Call, reply: Reply, net: &mut Net) {
    net.send(Node::Caller(call.caller), HOP, Message::Reply { job: call.job, reply });
}
