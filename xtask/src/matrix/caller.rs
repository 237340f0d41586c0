//! Callers: readers, and two kinds of callers that place orders.

use std::time::Duration;

use order::{Key, Lease, Number};

use super::{
    guard::Guard,
    host::DIRECTIONS_KEEP,
    message::{Call, Job, Message, Node, Reply},
    net::{HOP, HOSTS, Net, ORDER_TAG, REQUEST_TAG},
    step::Step,
};

/// When the request and the order come whose steps count.
const TAG_AFTER: Duration = Duration::from_millis(1_500);
/// When callers stop.
const END: Duration = Duration::from_millis(8_500);
/// Time after its deadline at which a caller gives up waiting.
const PATIENCE: Duration = Duration::from_millis(100);
/// Deadline of an order.
const ORDER_DEADLINE: Duration = Duration::from_secs(1);
/// Pause before an order is repeated.
const REPEAT_AFTER: Duration = Duration::from_millis(200);
/// Times that an order is sent at most.
const TRIES: u32 = 5;
/// Requests that come just before the one that must find a queue.
const BURST: u32 = 12;

/// What a caller sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    /// Reads or uploads of a rank, one after another without waiting.
    Reader { rank: &'static str, every: Duration, deadline: Duration },
    /// Orders numbered in a session; each third is repeated after its answer.
    Session,
    /// Orders under keys of the caller's own, each sent through two hosts at once.
    OwnKey,
}

/// An order until the caller is done with it.
#[derive(Clone, Copy, Debug)]
struct Order {
    job: Job,
    key: Key,
    number: Number,
    tries: u32,
    is_answered: bool,
}

/// A caller.
pub(super) struct Caller {
    number: usize,
    kind: Kind,
    started: std::time::Instant,
    hosts: Vec<usize>,
    lease: Option<Lease>,
    order: Option<Order>,
    next_number: Number,
    acknowledged: Number,
    has_sent_tag: bool,
    sent: u32,
}

impl Caller {
    pub(super) fn start(number: usize, kind: Kind, net: &mut Net) -> Self {
        let jitter = Duration::from_millis(100 + net.random.u64(..50));
        net.send(Node::Caller(number), jitter, Message::Next);
        net.send(Node::Caller(number), Duration::ZERO, Message::Hosts(Vec::new()));
        Self {
            number,
            kind,
            started: net.now,
            hosts: (0..HOSTS).collect(),
            lease: None,
            order: None,
            next_number: 1,
            acknowledged: 0,
            has_sent_tag: false,
            sent: 0,
        }
    }

    pub(super) fn take(&mut self, message: Message, net: &mut Net) {
        match message {
            Message::Next => self.next(net),
            Message::Hosts(hosts) => self.refresh(hosts, net),
            Message::Directions { .. } => self.ask_for_directions(net),
            Message::Lease(lease) => self.take_lease(lease, net),
            Message::Reply { job, reply } => self.replied(job, reply, net),
            Message::CallTimeout(job) | Message::RepeatCall(job) => self.repeat(job, net),
            _ => {}
        }
    }

    fn next(&mut self, net: &mut Net) {
        if net.now > self.started + END {
            return;
        }
        match self.kind {
            Kind::Reader { rank, every, deadline } => {
                net.send(self.node(), every, Message::Next);
                let job = self.new_job(REQUEST_TAG, net);
                if job == REQUEST_TAG && net.awaits(Step::RequestQueue) {
                    let host = self.pick(net);
                    for _ in 0..BURST {
                        let job = net.job();
                        send(host, self.read(job, rank, deadline, net), net);
                    }
                    return send(host, self.read(job, rank, deadline, net), net);
                }
                let host = self.pick(net);
                send(host, self.read(job, rank, deadline, net), net);
            }
            Kind::Session if self.lease.is_none() => {
                if self.number == FIRST_SESSION {
                    net.reach(Step::OrderSession, self.hosts[0], None);
                }
                let host = self.pick(net);
                net.send(net.host(host), HOP, Message::Session { caller: self.number });
                net.send(self.node(), REPEAT_AFTER, Message::Next);
            }
            Kind::Session | Kind::OwnKey if self.order.is_some() => {}
            Kind::Session => self.order_in_session(net),
            Kind::OwnKey => self.order_by_own_key(net),
        }
    }

    fn order_in_session(&mut self, net: &mut Net) {
        let Some(Lease { session, .. }) = self.lease else { return };
        let tag = if self.number == FIRST_SESSION { ORDER_TAG } else { 0 };
        let job = self.new_job(tag, net);
        let number = self.next_number;
        self.next_number += 1;
        let key = Key::Numbered { session, number };
        self.order = Some(Order { job, key, number, tries: 0, is_answered: false });
        let host = self.pick(net);
        self.send_order(host, net);
    }

    fn order_by_own_key(&mut self, net: &mut Net) {
        let job = net.job();
        let key = Key::Own(u128::from(job));
        self.order = Some(Order { job, key, number: 0, tries: 0, is_answered: false });
        let hosts = [self.pick(net), self.pick(net)];
        for host in hosts {
            self.send_order(host, net);
            if !net.guards(Guard::RepeatKey)
                && let Some(order) = &mut self.order
            {
                order.key = Key::Own(u128::from(job) << 64);
            }
        }
    }

    fn send_order(&mut self, host: usize, net: &mut Net) {
        let Some(order) = &mut self.order else { return };
        order.tries += 1;
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
        net.send(self.node(), deadline + PATIENCE, Message::CallTimeout(job));
    }

    fn replied(&mut self, job: Job, reply: Reply, net: &mut Net) {
        net.ledger.told(job, reply);
        let Some(order) = self.order.as_mut().filter(|it| it.job == job) else { return };
        match reply {
            Reply::Done(_) if order.is_answered || !is_repeated(order) => {
                self.acknowledged = order.number;
                self.finish(net);
            }
            Reply::Done(_) => {
                order.is_answered = true;
                net.reach_job(job, Step::OrderRepeat, self.hosts[0], None);
                net.send(self.node(), REPEAT_AFTER, Message::RepeatCall(job));
            }
            Reply::NotRun => {
                self.lease = None;
                self.finish(net);
            }
            Reply::Unknown => net.send(self.node(), REPEAT_AFTER, Message::RepeatCall(job)),
        }
    }

    fn repeat(&mut self, job: Job, net: &mut Net) {
        let Some(order) = self.order.filter(|it| it.job == job) else { return };
        if order.tries >= TRIES {
            self.lease = None;
            return self.finish(net);
        }
        let host = self.pick(net);
        self.send_order(host, net);
    }

    fn finish(&mut self, net: &mut Net) {
        self.order = None;
        net.send(self.node(), Duration::from_millis(100), Message::Next);
    }

    fn take_lease(&mut self, lease: Option<Lease>, net: &mut Net) {
        if self.lease.is_some() || lease.is_none() {
            return;
        }
        self.lease = lease;
        self.next_number = 1;
        self.acknowledged = 0;
        net.send(self.node(), HOP, Message::Next);
    }

    fn ask_for_directions(&mut self, net: &mut Net) {
        let host = self.pick(net);
        net.send(net.host(host), HOP, Message::Directions { caller: self.number });
        // Without an answer the next attempt may go to any host.
        self.hosts = (0..HOSTS).collect();
        net.send(self.node(), DIRECTIONS_KEEP, Message::Directions { caller: self.number });
    }

    fn refresh(&mut self, hosts: Vec<usize>, net: &mut Net) {
        if hosts.is_empty() {
            return self.ask_for_directions(net);
        }
        self.hosts = hosts;
    }

    fn new_job(&mut self, tag: Job, net: &mut Net) -> Job {
        self.sent += 1;
        let is_tag = tag != 0 && !self.has_sent_tag && net.now >= self.started + TAG_AFTER;
        if is_tag && (tag != REQUEST_TAG || self.number == 0) {
            self.has_sent_tag = true;
            return tag;
        }
        net.job()
    }

    fn read(&self, job: Job, rank: &'static str, deadline: Duration, net: &Net) -> Call {
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

    fn pick(&self, net: &mut Net) -> usize {
        self.hosts[net.random.usize(..self.hosts.len())]
    }

    fn node(&self) -> Node {
        Node::Caller(self.number)
    }
}

fn send(host: usize, call: Call, net: &mut Net) {
    net.send(net.host(host), HOP, Message::Call(call));
}

/// Number of the first caller with a session; its order is the one whose steps count.
pub(super) const FIRST_SESSION: usize = 2;

/// Whether an order is repeated although it was answered.
fn is_repeated(order: &Order) -> bool {
    order.job == ORDER_TAG || order.job.is_multiple_of(3)
}
