//! Simulated callers: readers, and two kinds of callers that place orders.

use std::time::Duration;

use order::{Key, Lease, Number};

use super::{
    guard::Guard,
    host::DIRECTIONS_TTL,
    message::{Call, Endpoint, Job, Message, Reply},
    network::{HOSTS, MARKED_ORDER, MARKED_REQUEST, MESSAGE_DELAY, Network},
    step::Step,
};

/// Time from a caller's start until it sends the marked request or the marked order.
const MARK_AFTER: Duration = Duration::from_millis(1_500);
/// Time from a caller's start until it sends no new requests.
const CALLING_PERIOD: Duration = Duration::from_millis(8_500);
/// Time after the deadline until a caller stops waiting for the reply.
const REPLY_GRACE: Duration = Duration::from_millis(100);
/// Time from sending an order to its deadline.
const ORDER_DEADLINE: Duration = Duration::from_secs(1);
/// Delay before an order is repeated.
const REPEAT_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of times that an order is sent.
const MAX_SENDS: u32 = 5;
/// Number of requests sent just before the marked one, so that it is queued.
const BURST: u32 = 12;

/// Kind of requests that a caller sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    /// Reads or uploads of a rank, sent at a fixed interval without waiting for replies.
    Reader { rank: &'static str, every: Duration, deadline: Duration },
    /// Orders numbered in a session. Each third is repeated after its answer.
    Session,
    /// Orders under keys that the caller chooses, each sent to two hosts at once.
    OwnKey,
}

/// An order that the caller has not finished yet.
#[derive(Clone, Copy, Debug)]
struct Order {
    job: Job,
    key: Key,
    number: Number,
    sends: u32,
    is_answered: bool,
}

/// A simulated caller.
pub(super) struct Caller {
    number: usize,
    kind: Kind,
    started: std::time::Instant,
    hosts: Vec<usize>,
    lease: Option<Lease>,
    order: Option<Order>,
    next_number: Number,
    acknowledged: Number,
    has_sent_marked: bool,
    sent: u32,
}

impl Caller {
    pub(super) fn start(number: usize, kind: Kind, net: &mut Network) -> Self {
        let jitter = Duration::from_millis(100 + net.random.u64(..50));
        net.send(Endpoint::Caller(number), jitter, Message::Next);
        net.send(Endpoint::Caller(number), Duration::ZERO, Message::Hosts(Vec::new()));
        Self {
            number,
            kind,
            started: net.now,
            hosts: (0..HOSTS).collect(),
            lease: None,
            order: None,
            next_number: 1,
            acknowledged: 0,
            has_sent_marked: false,
            sent: 0,
        }
    }

    pub(super) fn handle(&mut self, message: Message, net: &mut Network) {
        match message {
            Message::Next => self.send_next(net),
            Message::Hosts(hosts) => self.set_hosts(hosts, net),
            Message::Directions { .. } => self.request_directions(net),
            Message::Lease(lease) => self.set_lease(lease, net),
            Message::Reply { job, reply } => self.handle_reply(job, reply, net),
            Message::CallTimeout(job) | Message::RepeatCall(job) => self.repeat_order(job, net),
            _ => {}
        }
    }

    fn send_next(&mut self, net: &mut Network) {
        if net.now > self.started + CALLING_PERIOD {
            return;
        }
        match self.kind {
            Kind::Reader { rank, every, deadline } => {
                net.send(self.endpoint(), every, Message::Next);
                let job = self.new_job(MARKED_REQUEST, net);
                if job == MARKED_REQUEST && net.awaits(Step::RequestQueue) {
                    let host = self.choose_host(net);
                    for _ in 0..BURST {
                        let job = net.new_id();
                        send(host, self.new_read(job, rank, deadline, net), net);
                    }
                    return send(host, self.new_read(job, rank, deadline, net), net);
                }
                let host = self.choose_host(net);
                send(host, self.new_read(job, rank, deadline, net), net);
            }
            Kind::Session if self.lease.is_none() => {
                if self.number == FIRST_SESSION {
                    net.reach(Step::OrderSession, self.hosts[0], None);
                }
                let host = self.choose_host(net);
                net.send(net.host(host), MESSAGE_DELAY, Message::Session { caller: self.number });
                net.send(self.endpoint(), REPEAT_DELAY, Message::Next);
            }
            Kind::Session | Kind::OwnKey if self.order.is_some() => {}
            Kind::Session => self.order_in_session(net),
            Kind::OwnKey => self.order_by_own_key(net),
        }
    }

    fn order_in_session(&mut self, net: &mut Network) {
        let Some(Lease { session, .. }) = self.lease else { return };
        let marked_job = if self.number == FIRST_SESSION { MARKED_ORDER } else { 0 };
        let job = self.new_job(marked_job, net);
        let number = self.next_number;
        self.next_number += 1;
        let key = Key::Numbered { session, number };
        self.order = Some(Order { job, key, number, sends: 0, is_answered: false });
        let host = self.choose_host(net);
        self.send_order(host, net);
    }

    fn order_by_own_key(&mut self, net: &mut Network) {
        let job = net.new_id();
        let key = Key::Own(u128::from(job));
        self.order = Some(Order { job, key, number: 0, sends: 0, is_answered: false });
        let hosts = [self.choose_host(net), self.choose_host(net)];
        for host in hosts {
            self.send_order(host, net);
            if !net.has_guard(Guard::RepeatKey)
                && let Some(order) = &mut self.order
            {
                order.key = Key::Own(u128::from(job) << 64);
            }
        }
    }

    fn send_order(&mut self, host: usize, net: &mut Network) {
        let Some(order) = &mut self.order else { return };
        order.sends += 1;
        let deadline = ORDER_DEADLINE;
        let call = Call {
            caller: self.number,
            job: order.job,
            rank: "normal",
            is_idempotent: false,
            key: Some(order.key),
            acknowledged: self.acknowledged,
            deadline: net.now + deadline,
        };
        let job = order.job;
        send(host, call, net);
        net.send(self.endpoint(), deadline + REPLY_GRACE, Message::CallTimeout(job));
    }

    fn handle_reply(&mut self, job: Job, reply: Reply, net: &mut Network) {
        net.ledger.record_reply(job, reply);
        let Some(order) = self.order.as_mut().filter(|it| it.job == job) else { return };
        match reply {
            Reply::Done(_) if order.is_answered || !must_repeat(order) => {
                self.acknowledged = order.number;
                self.finish_order(net);
            }
            Reply::Done(_) => {
                order.is_answered = true;
                net.reach_job(job, Step::OrderRepeat, self.hosts[0], None);
                net.send(self.endpoint(), REPEAT_DELAY, Message::RepeatCall(job));
            }
            Reply::NotRun => {
                self.lease = None;
                self.finish_order(net);
            }
            Reply::Unknown => net.send(self.endpoint(), REPEAT_DELAY, Message::RepeatCall(job)),
        }
    }

    fn repeat_order(&mut self, job: Job, net: &mut Network) {
        let Some(order) = self.order.filter(|it| it.job == job) else { return };
        if order.sends >= MAX_SENDS {
            self.lease = None;
            return self.finish_order(net);
        }
        let host = self.choose_host(net);
        self.send_order(host, net);
    }

    fn finish_order(&mut self, net: &mut Network) {
        self.order = None;
        net.send(self.endpoint(), Duration::from_millis(100), Message::Next);
    }

    fn set_lease(&mut self, lease: Option<Lease>, net: &mut Network) {
        if self.lease.is_some() || lease.is_none() {
            return;
        }
        self.lease = lease;
        self.next_number = 1;
        self.acknowledged = 0;
        net.send(self.endpoint(), MESSAGE_DELAY, Message::Next);
    }

    fn request_directions(&mut self, net: &mut Network) {
        let host = self.choose_host(net);
        net.send(net.host(host), MESSAGE_DELAY, Message::Directions { caller: self.number });
        // If no answer arrives, the caller may use any host.
        self.hosts = (0..HOSTS).collect();
        net.send(self.endpoint(), DIRECTIONS_TTL, Message::Directions { caller: self.number });
    }

    fn set_hosts(&mut self, hosts: Vec<usize>, net: &mut Network) {
        if hosts.is_empty() {
            return self.request_directions(net);
        }
        self.hosts = hosts;
    }

    fn new_job(&mut self, marked_job: Job, net: &mut Network) -> Job {
        self.sent += 1;
        let is_marked =
            marked_job != 0 && !self.has_sent_marked && net.now >= self.started + MARK_AFTER;
        if is_marked && (marked_job != MARKED_REQUEST || self.number == 0) {
            self.has_sent_marked = true;
            return marked_job;
        }
        net.new_id()
    }

    fn new_read(&self, job: Job, rank: &'static str, deadline: Duration, net: &Network) -> Call {
        Call {
            caller: self.number,
            job,
            rank,
            is_idempotent: true,
            key: None,
            acknowledged: 0,
            deadline: net.now + deadline,
        }
    }

    fn choose_host(&self, net: &mut Network) -> usize {
        self.hosts[net.random.usize(..self.hosts.len())]
    }

    fn endpoint(&self) -> Endpoint {
        Endpoint::Caller(self.number)
    }
}

fn send(host: usize, call: Call, net: &mut Network) {
    net.send(net.host(host), MESSAGE_DELAY, Message::Call(call));
}

/// Number of the first caller with a session, which sends the marked order.
pub(super) const FIRST_SESSION: usize = 2;

/// Whether an order is repeated even though it was answered.
fn must_repeat(order: &Order) -> bool {
    order.job == MARKED_ORDER || order.job.is_multiple_of(3)
}
