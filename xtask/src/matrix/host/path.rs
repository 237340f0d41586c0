//! The path of a request: admission, choice of an upstream, attempts, reply.

use std::time::Duration;

use admission::Verdict;
use balance::{Completion, Outcome, Report};
use order::{Event, Reason, Ticket};

use super::{
    Host, backend,
    task::{Origin, PendingAttempt, Task},
};
use crate::matrix::{
    guard::Guard,
    message::{AttemptId, Call, Endpoint, Message, Payload, Reply, Response, Work},
    network::{HOSTS, MESSAGE_DELAY, Network},
    step::Step,
};

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: usize = 3;
/// Time to set up a connection.
const CONNECT_TIME: Duration = Duration::from_millis(1);

impl Host {
    pub(super) fn handle_call(&mut self, call: Call, net: &mut Network) {
        if self.version.is_none() || self.rejects_new_work(net) {
            // The order may be a repetition of one that has run, so its outcome is unknown.
            let reply = if call.key.is_some() { Reply::Unknown } else { Reply::NotRun };
            return send_reply(&call, reply, net);
        }
        net.ledger.record_host_request(self.number, net.now);
        net.ledger.record_traffic(net.now);
        self.served += 1;
        net.reach_job(call.job, Step::RequestAccept, self.number, None);
        if self.number == HOSTS - 1 {
            net.reach(Step::HostServe, self.number, None);
        }
        let ticket = self.register(call, Origin::Caller, net);
        match call.key {
            Some(key) => self.submit(ticket, key, net),
            None => self.admit(ticket, net),
        }
    }

    /// Registers a request and starts the timer of its deadline.
    pub(super) fn register(&mut self, call: Call, origin: Origin, net: &mut Network) -> Ticket {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.tasks.insert(ticket, Task::new(call, origin));
        let left = call.deadline.saturating_duration_since(net.now);
        net.send(self.endpoint(), left, Message::Deadline(ticket));
        ticket
    }

    pub(super) fn admit(&mut self, ticket: Ticket, net: &mut Network) {
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
            Verdict::Refused(_) => self.end_request(ticket, Reply::NotRun, net),
            Verdict::Queued { displaced } => {
                net.reach_job(call.job, Step::RequestQueue, self.number, None);
                if let Some(it) = displaced {
                    self.end_request(it.id, Reply::NotRun, net);
                }
            }
        }
    }

    pub(super) fn choose(&mut self, ticket: Ticket, net: &mut Network) {
        let Some(task) = self.tasks.get_mut(&ticket) else { return };
        let job = task.call.job;
        net.reach_job(job, Step::RequestChoose, self.number, None);
        match self.balancer.choose(net.now, &task.tried) {
            Ok(choice) => {
                let id = choice.dispatch.upstream().clone();
                let chosen = backend(&id);
                task.tried.push(id);
                net.reach_job(job, Step::RequestConnect, self.number, Some(chosen));
                let attempt = net.new_id();
                let (dispatch, since) = (choice.dispatch, net.now);
                let pending =
                    PendingAttempt { dispatch, attempt, backend: chosen, since, is_sent: false };
                task.pending = Some(pending);
                self.attempts.insert(attempt, ticket);
                let is_refused = net.backends[chosen].refusing_until > net.now;
                net.send(self.endpoint(), CONNECT_TIME, Message::Connected { attempt, is_refused });
            }
            Err(refusal) => {
                let is_full = refusal.reason == balance::Reason::Full;
                if is_full && net.now + refusal.retry_after < task.call.deadline {
                    net.send(self.endpoint(), refusal.retry_after, Message::Retry(ticket));
                } else {
                    let reply = if task.may_have_run { Reply::Unknown } else { Reply::NotRun };
                    self.end_request(ticket, reply, net);
                }
            }
        }
    }

    pub(super) fn connected(&mut self, attempt: AttemptId, is_refused: bool, net: &mut Network) {
        let Some(&ticket) = self.attempts.get(&attempt) else { return };
        if is_refused {
            self.end_attempt(ticket, Outcome::NotSent, None, net);
            return self.retry(ticket, false, net);
        }
        let Some(task) = self.tasks.get_mut(&ticket) else { return };
        let call = task.call;
        let Some(pending) = &mut task.pending else { return };
        if let Some(key) = call.key {
            net.reach_job(call.job, Step::OrderPermit, self.number, Some(pending.backend));
            let refused = self.engine.permit(&key, net.now).is_err();
            if refused && net.has_guard(Guard::NoSecondDispatch) && net.has_guard(Guard::Issuer) {
                return self.end_request(ticket, Reply::NotRun, net);
            }
        }
        net.reach_job(call.job, Step::RequestSend, self.number, Some(pending.backend));
        pending.is_sent = true;
        let work = Work {
            host: Endpoint::Host(self.number, self.generation),
            attempt,
            job: call.job,
            is_order: call.key.is_some(),
            service: call.service(),
        };
        net.send(Endpoint::Backend(pending.backend), MESSAGE_DELAY, Message::Work(work));
    }

    pub(super) fn handle_response(
        &mut self,
        connection: AttemptId,
        response: Response,
        load: Report,
        net: &mut Network,
    ) {
        let Some(&ticket) = self.attempts.get(&connection) else {
            return self.handle_late_response(connection, response, net);
        };
        let Some(task) = self.tasks.get(&ticket) else { return };
        let upstream = task.pending.as_ref().map(|it| it.backend);
        net.reach_job(task.call.job, Step::RequestAnswer, self.number, upstream);
        net.reach_job(task.call.job, Step::OrderAnswer, self.number, upstream);
        match response {
            Response::Answer(it) if is_valid(&it, connection, net) => {
                self.end_attempt(ticket, Outcome::Success, Some(load), net);
                self.retries.record_success();
                self.end_request(ticket, Reply::Done(it), net);
            }
            Response::Shed { is_leaving } => {
                self.end_attempt(ticket, Outcome::Overload, Some(load), net);
                if is_leaving {
                    self.leaving_upstreams.extend(upstream);
                    self.mark_leaving_upstreams(net);
                }
                self.retry(ticket, false, net);
            }
            Response::Answer(_) | Response::Reset | Response::ServerError => {
                self.end_attempt(ticket, Outcome::Failure, None, net);
                self.retry(ticket, true, net);
            }
        }
    }

    /// Tries another upstream after a failed attempt, if that is safe and within the retry budget.
    fn retry(&mut self, ticket: Ticket, may_have_run: bool, net: &mut Network) {
        let Some(task) = self.tasks.get_mut(&ticket) else { return };
        task.may_have_run |= may_have_run && net.has_guard(Guard::MaybeSent);
        let is_safe =
            !may_have_run || task.call.is_idempotent || !net.has_guard(Guard::NoSecondDispatch);
        let may_have_run = task.may_have_run;
        let is_affordable = !may_have_run || self.retries.try_retry(net.now);
        if !is_safe || task.tried.len() >= MAX_ATTEMPTS || !is_affordable {
            let reply = if may_have_run { Reply::Unknown } else { Reply::NotRun };
            return self.end_request(ticket, reply, net);
        }
        if let Some(key) = task.call.key {
            self.handle_event(Event::Unsent(key), net);
        }
        self.choose(ticket, net);
    }

    /// Ends a request at its deadline.
    pub(super) fn expire(&mut self, ticket: Ticket, net: &mut Network) {
        let Some(task) = self.tasks.get(&ticket) else { return };
        if !task.is_running {
            self.handle_event(Event::Tick, net);
            if self.tasks.remove(&ticket).is_some() {
                self.handle_event(Event::Disconnected(ticket), net);
            }
            return;
        }
        let is_sent = task.pending.as_ref().is_some_and(|it| it.is_sent);
        if let (Some(key), Some(pending)) = (task.call.key, &task.pending) {
            self.expired.insert(pending.attempt, (key, task.call.job));
        }
        let may_have_run = (task.may_have_run || is_sent) && net.has_guard(Guard::MaybeSent);
        let reply = if may_have_run { Reply::Unknown } else { Reply::NotRun };
        self.end_request(ticket, reply, net);
    }

    /// Handles the response to an attempt whose request has expired.
    fn handle_late_response(
        &mut self,
        connection: AttemptId,
        response: Response,
        net: &mut Network,
    ) {
        let Some((key, job)) = self.expired.remove(&connection) else { return };
        if let Response::Answer(it) = response
            && is_valid(&it, connection, net)
            && it.job == job
        {
            self.handle_event(Event::Finished(key, super::orders::done(&it)), net);
        }
    }

    /// Reports the end of the attempt in flight to the balancer.
    fn end_attempt(
        &mut self,
        ticket: Ticket,
        outcome: Outcome,
        report: Option<Report>,
        net: &mut Network,
    ) {
        let Some(pending) = self.tasks.get_mut(&ticket).and_then(|it| it.pending.take()) else {
            return;
        };
        self.attempts.remove(&pending.attempt);
        let latency = net.now.saturating_duration_since(pending.since);
        self.balancer.finished(net.now, pending.dispatch, Completion { outcome, latency, report });
    }

    /// Ends a request: releases its slot, records the outcome of its order, and replies.
    pub(super) fn end_request(&mut self, ticket: Ticket, reply: Reply, net: &mut Network) {
        let outcome = match reply {
            Reply::Unknown => Outcome::Failure,
            Reply::Done(_) | Reply::NotRun => Outcome::Cancelled,
        };
        self.end_attempt(ticket, outcome, None, net);
        let Some(task) = self.tasks.remove(&ticket) else { return };
        if let Some(key) = task.call.key {
            let outcome = match reply {
                Reply::Done(it) => super::orders::done(&it),
                Reply::NotRun => order::Outcome::NotRun(Reason::Refused),
                Reply::Unknown => order::Outcome::Unknown(Reason::Interrupted),
            };
            self.handle_event(Event::Finished(key, outcome), net);
        }
        self.reply(&task, reply, net);
        let served = matches!(reply, Reply::Done(_)).then(|| task.call.service());
        let events = match served {
            Some(it) => self.gate.release(net.now, ticket, Some(it)),
            None => self.gate.cancel(net.now, ticket),
        };
        self.handle_gate_events(&events, net);
    }

    pub(super) fn reply(&self, task: &Task, reply: Reply, net: &mut Network) {
        match task.origin {
            Origin::Caller => {
                net.reach_job(task.call.job, Step::RequestReply, self.number, None);
                send_reply(&task.call, reply, net);
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

    pub(super) fn handle_gate_events(&mut self, events: &[admission::Event], net: &mut Network) {
        for event in events {
            match *event {
                admission::Event::Admit(ticket) => self.choose(ticket, net),
                admission::Event::Expire(ticket) => self.end_request(ticket, Reply::NotRun, net),
            }
        }
    }
}

fn is_valid(payload: &Payload, connection: AttemptId, net: &Network) -> bool {
    let is_own = payload.attempt == connection || !net.has_guard(Guard::AttemptId);
    let is_whole = payload.is_whole || !net.has_guard(Guard::WholeAnswer);
    is_own && is_whole
}

/// Sends a reply to a caller.
fn send_reply(call: &Call, reply: Reply, net: &mut Network) {
    net.send(Endpoint::Caller(call.caller), MESSAGE_DELAY, Message::Reply { job: call.job, reply });
}
