//! Orders: what the engine wants done.

use std::time::Duration;

use bytes::Bytes;
use order::{Action, Event, Failure, Fingerprint, Key, Outcome, Stream, Submission, Ticket};

use super::{Host, peers::Holder, task::Origin};
use crate::matrix::{
    guard::Guard,
    message::{Append, Call, Message, Node, Payload, Reply, Token},
    net::{HOP, Net, ORDER_TAG},
    step::Step,
};

/// Time after which an unanswered peer counts as failed.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(300);

impl Host {
    pub(super) fn issue(&mut self, caller: usize, net: &mut Net) {
        let is_open = matches!(self.stage, member::Lifecycle::Ready(_));
        let nonce = net.random.u64(..);
        let lease = if is_open { self.engine.issue(true, nonce, net.now) } else { None };
        net.send(Node::Caller(caller), HOP, Message::Lease(lease));
    }

    pub(super) fn submit(&mut self, ticket: Ticket, key: Key, net: &mut Net) {
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
        self.event(Event::Submitted(submission), net);
    }

    /// Takes in a request that another host passed on.
    pub(super) fn forwarded_here(
        &mut self,
        from: Node,
        ticket: Ticket,
        submission: &Submission,
        call: Call,
        net: &mut Net,
    ) {
        let origin = Origin::Peer { host: from, ticket };
        let ticket = self.open(call, origin, net);
        let submission = Submission { ticket, forwarded: true, ..submission.clone() };
        self.event(Event::Submitted(submission), net);
    }

    pub(super) fn event(&mut self, event: Event, net: &mut Net) {
        let actions = self.engine.handle(event, net.now);
        self.perform(actions, net);
    }

    pub(super) fn perform(&mut self, actions: Vec<Action>, net: &mut Net) {
        for action in actions {
            match action {
                Action::Reply(ticket, outcome) => self.reply_order(ticket, &outcome, net),
                Action::Start(ticket, key) => self.start_order(ticket, key, net),
                Action::Forward(ticket, incarnation) => self.pass_on(ticket, incarnation, net),
                Action::Append { batch, stream, record } => {
                    self.append(batch, stream, record, net);
                }
                Action::Follow(stream, offset) => {
                    self.follows.insert(stream, offset);
                }
                Action::Unfollow(stream) => {
                    self.follows.remove(&stream);
                }
                Action::StartIncarnation => {
                    let incarnation = net.random.u64(..);
                    self.event(Event::IncarnationStarted(incarnation), net);
                }
                Action::Skipped { .. } => {}
            }
        }
    }

    fn reply_order(&mut self, ticket: Ticket, outcome: &Outcome, net: &mut Net) {
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

    fn start_order(&mut self, ticket: Ticket, key: Key, net: &mut Net) {
        if let Some(task) = self.tasks.get(&ticket) {
            net.reach_job(task.call.job, Step::OrderReadBack, self.number, None);
            return self.admit(ticket, net);
        }
        let outcome = Outcome::NotRun(order::Reason::Refused);
        self.event(Event::Finished(key, outcome), net);
    }

    fn pass_on(&mut self, ticket: Ticket, to: order::Incarnation, net: &mut Net) {
        let Some(task) = self.tasks.get(&ticket) else { return };
        let (Some(key), call) = (task.call.key, task.call) else { return };
        if !net.guards(Guard::Issuer) {
            return self.admit(ticket, net);
        }
        let number = match self.holder(to, net) {
            Holder::Host(it) => it,
            Holder::Ended => {
                return self.event(Event::ForwardFailed { ticket, gone: true }, net);
            }
            Holder::Unreachable => {
                return self.event(Event::ForwardFailed { ticket, gone: false }, net);
            }
        };
        let fingerprint = Fingerprint::of("POST", "/orders", &call.job.to_le_bytes());
        let (deadline, acknowledged) = (call.deadline, call.acknowledged);
        let submission =
            Submission { ticket, key, fingerprint, deadline, acknowledged, forwarded: true };
        let forward = Message::Forward { from: self.node(), ticket, submission, call };
        net.send_peer(self.number, net.host(number), forward);
        net.send(self.node(), FORWARD_TIMEOUT, Message::ForwardTimeout(ticket));
    }

    fn append(&mut self, batch: order::Batch, stream: Stream, record: Bytes, net: &mut Net) {
        let holds_tag = |it: &super::Task| it.call.job == ORDER_TAG && !it.is_running;
        let is_tagged = matches!(stream, Stream::Orders(_)) && self.tasks.values().any(holds_tag);
        if is_tagged {
            net.reach(Step::OrderAppend, self.number, None);
        }
        let token = Token::Batch { batch, is_tagged };
        let (from, name) = (self.node(), stream.to_string());
        let copy = record.clone();
        net.send(Node::Log, HOP, Message::Append { from, token, stream: name, record });
        if !net.guards(Guard::ReadBack) && matches!(stream, Stream::Orders(_)) {
            let offset = self.follows.get(&stream).copied().unwrap_or_default();
            self.event(Event::Read { stream, offset, record: copy }, net);
        }
    }

    pub(super) fn appended(&mut self, token: Token, append: Append, net: &mut Net) {
        let Token::Batch { batch, .. } = token else { return };
        let event = match append {
            Append::Done => Event::Appended(batch),
            Append::Refused => Event::AppendFailed(batch, Failure::Refused),
            Append::Unknown => Event::AppendFailed(batch, Failure::Unknown),
        };
        self.event(event, net);
    }

    /// Whether a record of the claims is kept from the engine.
    pub(super) fn hides(&self, stream: Stream, record: &[u8], net: &Net) -> bool {
        if net.guards(Guard::FirstClaim) || stream != Stream::Claims {
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

/// The outcome of an order that was answered.
pub(super) fn done(payload: &Payload) -> Outcome {
    let mut body = payload.job.to_le_bytes().to_vec();
    body.push(u8::from(payload.is_whole));
    Outcome::Done(order::Answer { status: 200, headers: Vec::new(), body: body.into() })
}

/// The answer that [`done`] wrote down.
fn payload(body: &[u8]) -> Payload {
    let (job, rest) =
        body.split_first_chunk().map_or((0, body), |(it, rest)| (u64::from_le_bytes(*it), rest));
    Payload { job, attempt: 0, is_whole: rest == [1] }
}
