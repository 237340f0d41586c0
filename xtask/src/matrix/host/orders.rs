//! Orders: passes events to the engine and performs its actions.

use std::time::Duration;

use bytes::Bytes;
use order::{Action, Event, Failure, Fingerprint, Key, Outcome, Stream, Submission, Ticket};

use super::{Host, peers::Destination, task::Origin};
use crate::matrix::{
    guard::Guard,
    message::{Append, Call, Endpoint, Message, Payload, Reply, Token},
    network::{MARKED_ORDER, MESSAGE_DELAY, Network},
    step::Step,
};

/// Time after which a forwarded order counts as failed.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(300);

impl Host {
    pub(super) fn issue_session(&mut self, caller: usize, net: &mut Network) {
        let is_open = matches!(self.stage, member::Lifecycle::Ready(_));
        let nonce = net.random.u64(..);
        let lease = if is_open { self.engine.issue(true, nonce, net.now) } else { None };
        net.send(Endpoint::Caller(caller), MESSAGE_DELAY, Message::Lease(lease));
    }

    pub(super) fn submit(&mut self, ticket: Ticket, key: Key, net: &mut Network) {
        let Some(task) = self.tasks.get(&ticket) else { return };
        net.reach_job(task.call.job, Step::OrderSubmit, self.number, None);
        let submission = Submission {
            ticket,
            key,
            fingerprint: Fingerprint::of("POST", "/orders", &task.call.job.to_le_bytes()),
            deadline: task.call.deadline,
            acknowledged: task.call.acknowledged,
            forwarded: matches!(task.origin, Origin::Peer { .. }),
        };
        self.handle_event(Event::Submitted(submission), net);
    }

    /// Handles a request that another host has forwarded.
    pub(super) fn handle_forward(
        &mut self,
        from: Endpoint,
        ticket: Ticket,
        submission: &Submission,
        call: Call,
        net: &mut Network,
    ) {
        let origin = Origin::Peer { host: from, ticket };
        let ticket = self.register(call, origin, net);
        let submission = Submission { ticket, forwarded: true, ..submission.clone() };
        self.handle_event(Event::Submitted(submission), net);
    }

    pub(super) fn handle_event(&mut self, event: Event, net: &mut Network) {
        let actions = self.engine.handle(event, net.now);
        self.perform(actions, net);
    }

    pub(super) fn perform(&mut self, actions: Vec<Action>, net: &mut Network) {
        for action in actions {
            match action {
                Action::Reply(ticket, outcome) => self.reply_order(ticket, &outcome, net),
                Action::Start(ticket, key) => self.start_order(ticket, key, net),
                Action::Forward(ticket, incarnation) => self.forward(ticket, incarnation, net),
                Action::Append { batch, stream, record } => {
                    self.send_append(batch, stream, record, net);
                }
                Action::Follow(stream, offset) => {
                    self.cursors.insert(stream, offset);
                }
                Action::Unfollow(stream) => {
                    self.cursors.remove(&stream);
                }
                Action::StartIncarnation => {
                    let incarnation = net.random.u64(..);
                    self.handle_event(Event::IncarnationStarted(incarnation), net);
                }
                Action::Skipped { .. } => {}
            }
        }
    }

    fn reply_order(&mut self, ticket: Ticket, outcome: &Outcome, net: &mut Network) {
        let Some(task) = self.tasks.remove(&ticket) else { return };
        if let Origin::Peer { host, ticket } = task.origin {
            let outcome = outcome.clone();
            return net.send_peer(self.number, host, Message::Forwarded { ticket, outcome });
        }
        let reply = match outcome {
            Outcome::Done(it) => Reply::Done(payload(&it.body)),
            Outcome::NotRun(_) => Reply::NotRun,
            Outcome::Unkept | Outcome::Unknown(_) => Reply::Unknown,
        };
        self.reply(&task, reply, net);
    }

    fn start_order(&mut self, ticket: Ticket, key: Key, net: &mut Network) {
        if let Some(task) = self.tasks.get(&ticket) {
            net.reach_job(task.call.job, Step::OrderReadBack, self.number, None);
            return self.admit(ticket, net);
        }
        let outcome = Outcome::NotRun(order::Reason::Refused);
        self.handle_event(Event::Finished(key, outcome), net);
    }

    fn forward(&mut self, ticket: Ticket, to: order::Incarnation, net: &mut Network) {
        let Some(task) = self.tasks.get(&ticket) else { return };
        let (Some(key), call) = (task.call.key, task.call) else { return };
        if !net.has_guard(Guard::Issuer) {
            return self.admit(ticket, net);
        }
        let number = match self.destination(to, net) {
            Destination::Host(it) => it,
            Destination::Ended => {
                return self.handle_event(Event::ForwardFailed { ticket, gone: true }, net);
            }
            Destination::Unreachable => {
                return self.handle_event(Event::ForwardFailed { ticket, gone: false }, net);
            }
        };
        let fingerprint = Fingerprint::of("POST", "/orders", &call.job.to_le_bytes());
        let (deadline, acknowledged) = (call.deadline, call.acknowledged);
        let submission =
            Submission { ticket, key, fingerprint, deadline, acknowledged, forwarded: true };
        let message = Message::Forward { from: self.endpoint(), ticket, submission, call };
        net.send_peer(self.number, net.host(number), message);
        net.send(self.endpoint(), FORWARD_TIMEOUT, Message::ForwardTimeout(ticket));
    }

    fn send_append(
        &mut self,
        batch: order::Batch,
        stream: Stream,
        record: Bytes,
        net: &mut Network,
    ) {
        let holds_marked = |it: &super::Task| it.call.job == MARKED_ORDER && !it.is_running;
        let is_marked =
            matches!(stream, Stream::Orders(_)) && self.tasks.values().any(holds_marked);
        if is_marked {
            net.reach(Step::OrderAppend, self.number, None);
        }
        let token = Token::Batch { batch, is_marked };
        let (from, name) = (self.endpoint(), stream.to_string());
        let copy = record.clone();
        net.send(
            Endpoint::Log,
            MESSAGE_DELAY,
            Message::Append { from, token, stream: name, record },
        );
        if !net.has_guard(Guard::ReadBack) && matches!(stream, Stream::Orders(_)) {
            let offset = self.cursors.get(&stream).copied().unwrap_or_default();
            self.handle_event(Event::Read { stream, offset, record: copy }, net);
        }
    }

    pub(super) fn appended(&mut self, token: Token, append: Append, net: &mut Network) {
        let Token::Batch { batch, .. } = token else { return };
        let event = match append {
            Append::Done => Event::Appended(batch),
            Append::Refused => Event::AppendFailed(batch, Failure::Refused),
            Append::Unknown => Event::AppendFailed(batch, Failure::Unknown),
        };
        self.handle_event(event, net);
    }

    /// Whether a record of the claims is withheld from the engine because a guard is disabled.
    pub(super) fn hides_record(&self, stream: Stream, record: &[u8], net: &Network) -> bool {
        if net.has_guard(Guard::FirstClaim) || stream != Stream::Claims {
            return false;
        }
        let own = self.engine.incarnations();
        let owner = match order::Record::decode(record) {
            Ok(order::Body::Claims { owner, .. }) => Some(owner),
            _ => None,
        };
        owner.is_some_and(|it| !own.contains(&it))
    }
}

/// The outcome of an order with this answer.
pub(super) fn done(payload: &Payload) -> Outcome {
    let mut body = payload.job.to_le_bytes().to_vec();
    body.push(u8::from(payload.is_whole));
    Outcome::Done(order::Answer { status: 200, headers: Vec::new(), body: body.into() })
}

/// The answer that [`done`] has encoded.
fn payload(body: &[u8]) -> Payload {
    let (job, rest) =
        body.split_first_chunk().map_or((0, body), |(it, rest)| (u64::from_le_bytes(*it), rest));
    Payload { job, attempt: 0, is_whole: rest == [1] }
}
