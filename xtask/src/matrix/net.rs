//! Virtual time, delivery of messages, and the faults in force.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::{Duration, Instant},
};

use super::{
    cell::Cell,
    fault::Fault,
    guard::Guard,
    ledger::Ledger,
    message::{Job, Life, Message, Node},
    step::{Step, Subject},
};

/// Entry hosts of a cell.
pub(super) const HOSTS: usize = 3;
/// Backend servers of a cell.
pub(super) const BACKENDS: usize = 3;
/// The request whose steps count.
pub(super) const REQUEST_TAG: Job = 1;
/// The order whose steps count.
pub(super) const ORDER_TAG: Job = 2;
/// Time of a message between an entry host and a backend server or a caller.
pub(super) const HOP: Duration = Duration::from_micros(300);
/// Length of most faults.
const SHORT: Duration = Duration::from_secs(1);
/// Length of faults that must outlast a suspicion.
const LONG: Duration = Duration::from_millis(2_500);
/// Time between the two injections of a fault that comes twice.
const AGAIN_AFTER: Duration = Duration::from_millis(800);
/// Time until a killed host is replaced.
const REPLACED_AFTER: Duration = Duration::from_millis(700);
/// Lag of the platform's host list.
const LIST_LAG: Duration = Duration::from_millis(500);
/// Time for which a stale host list doesn't change.
const LIST_FROZEN: Duration = Duration::from_secs(6);
/// Requests of a flood, and the time between two.
const FLOOD: u32 = 800;

/// Until when each fault of a backend server holds.
#[derive(Clone, Copy, Debug)]
pub(super) struct BackendFaults {
    pub(super) slow: Instant,
    pub(super) stalled: Instant,
    pub(super) fails_fast: Instant,
    pub(super) refuses: Instant,
    pub(super) resets: Instant,
    pub(super) cuts: Instant,
    pub(super) late: Instant,
    pub(super) swaps: Instant,
    pub(super) drains: Option<Instant>,
}

/// Virtual time, delivery of messages, and the faults in force.
pub(super) struct Net {
    pub(super) now: Instant,
    pub(super) random: fastrand::Rng,
    pub(super) ledger: Ledger,
    pub(super) backends: Vec<BackendFaults>,
    pub(super) log_down: Instant,
    pub(super) log_slow: Instant,
    pub(super) log_loses: Instant,
    pub(super) lives: [Life; HOSTS],
    pub(super) up: [bool; HOSTS],
    paused: [Instant; HOSTS],
    cut_in: [Instant; HOSTS],
    cut_out: [Instant; HOSTS],
    list_frozen: Option<(Instant, Instant)>,
    /// Entry hosts and whether each leaves, by the time at which that became true.
    listings: Vec<(Instant, BTreeMap<usize, bool>)>,
    off: Option<Guard>,
    cell: Option<Cell>,
    again: Option<(Fault, usize, usize)>,
    queue: BinaryHeap<Reverse<Entry>>,
    sequence: u64,
    next_job: Job,
}

struct Entry {
    at: Instant,
    sequence: u64,
    to: Node,
    message: Message,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

impl Net {
    pub(super) fn new(cell: Cell, off: Option<Guard>) -> Self {
        let now = Instant::now();
        let backend = BackendFaults {
            slow: now,
            stalled: now,
            fails_fast: now,
            refuses: now,
            resets: now,
            cuts: now,
            late: now,
            swaps: now,
            drains: None,
        };
        Self {
            now,
            random: fastrand::Rng::with_seed(cell.seed),
            ledger: Ledger::new(now, u32::try_from(HOSTS).unwrap_or(u32::MAX)),
            backends: vec![backend; BACKENDS],
            log_down: now,
            log_slow: now,
            log_loses: now,
            lives: [0; HOSTS],
            up: [false; HOSTS],
            paused: [now; HOSTS],
            cut_in: [now; HOSTS],
            cut_out: [now; HOSTS],
            list_frozen: None,
            listings: Vec::new(),
            off,
            cell: Some(cell),
            again: None,
            queue: BinaryHeap::new(),
            sequence: 0,
            next_job: 100,
        }
    }

    /// Whether a guard is in place.
    pub(super) fn guards(&self, guard: Guard) -> bool {
        self.off != Some(guard)
    }

    pub(super) fn job(&mut self) -> Job {
        self.next_job += 1;
        self.next_job
    }

    pub(super) fn host(&self, number: usize) -> Node {
        Node::Host(number, self.lives[number])
    }

    /// Hosts that run.
    pub(super) fn live(&self) -> Vec<usize> {
        (0..HOSTS).filter(|it| self.up[*it]).collect()
    }

    pub(super) fn send(&mut self, to: Node, after: Duration, message: Message) {
        self.sequence += 1;
        let entry = Entry { at: self.now + after, sequence: self.sequence, to, message };
        self.queue.push(Reverse(entry));
    }

    /// Sends from one entry host to another, unless they are cut off.
    pub(super) fn send_peer(&mut self, from: usize, to: Node, message: Message) {
        let Node::Host(number, _) = to else { return };
        if self.cut_out[from] <= self.now && self.cut_in[number] <= self.now {
            self.send(to, HOP, message);
        }
    }

    /// The next message for a node that can take it, up to `end`.
    pub(super) fn receive(&mut self, end: Instant) -> Option<(Node, Message)> {
        loop {
            let Reverse(mut entry) = self.queue.pop()?;
            if entry.at > end {
                return None;
            }
            self.now = entry.at;
            let Node::Host(number, life) = entry.to else {
                return Some((entry.to, entry.message));
            };
            if self.lives[number] != life || !self.up[number] {
                continue;
            }
            if self.paused[number] > self.now {
                entry.at = self.paused[number];
                self.queue.push(Reverse(entry));
                continue;
            }
            return Some((entry.to, entry.message));
        }
    }

    /// Notes that the request or order `job` came to a step.
    pub(super) fn reach_job(&mut self, job: Job, step: Step, host: usize, backend: Option<usize>) {
        let tag = if step.subject() == Subject::Order { ORDER_TAG } else { REQUEST_TAG };
        if job == tag {
            self.reach(step, host, backend);
        }
    }

    /// Notes that the cell's subject came to a step, and injects the faults that belong there.
    pub(super) fn reach(&mut self, step: Step, host: usize, backend: Option<usize>) {
        let Some(cell) = self.cell.filter(|it| it.step == step) else { return };
        self.cell = None;
        self.ledger.verdict.is_reached = true;
        let backend = backend.unwrap_or(0);
        self.inject(cell.first, host, backend);
        match cell.second {
            Some(it) if it == cell.first => {
                self.again = Some((it, (host + 1) % HOSTS, (backend + 1) % BACKENDS));
                self.send(Node::World, AGAIN_AFTER, Message::Repeat);
            }
            Some(it) => self.inject(it, host, backend),
            None => {}
        }
    }

    /// Whether the faults are still to come, at this step.
    pub(super) fn awaits(&self, step: Step) -> bool {
        self.cell.is_some_and(|it| it.step == step)
    }

    /// Injects a fault for the second time, at the next host and backend server.
    pub(super) fn inject_again(&mut self) {
        if let Some((fault, host, backend)) = self.again.take() {
            self.inject(fault, host, backend);
        }
    }

    fn inject(&mut self, fault: Fault, host: usize, backend: usize) {
        let now = self.now;
        let (short, long) = (now + SHORT, now + LONG);
        let target = &mut self.backends[backend];
        match fault {
            Fault::Slow => target.slow = long,
            Fault::SuddenSlow => target.stalled = short,
            Fault::Drain => self.drain(backend),
            Fault::FailFast => target.fails_fast = short,
            Fault::Refused => target.refuses = short,
            Fault::Reset => target.resets = short,
            Fault::Cut => target.cuts = short,
            Fault::Late => target.late = short,
            Fault::Swapped => target.swaps = short,
            Fault::BulkFlood => self.flood(host, "bulk"),
            Fault::UrgentFlood => self.flood(host, "urgent"),
            Fault::LogDown => self.log_down = long,
            Fault::LogSlow => self.log_slow = long,
            Fault::LogAnswerLost => self.log_loses = short,
            Fault::HostListStale => self.list_frozen = Some((now, now + LIST_FROZEN)),
            Fault::HostPaused => self.paused[host] = long,
            Fault::EditorsRace => {
                for author in [1, 2] {
                    self.send(Node::Author(author), Duration::ZERO, Message::Edit);
                }
            }
            Fault::HostKilled => {
                self.send(Node::World, Duration::ZERO, Message::Kill(host));
                self.send(Node::World, REPLACED_AFTER, Message::Start(host));
            }
            Fault::HostLeaving => self.send(self.host(host), Duration::ZERO, Message::Leave),
            Fault::PeersCut => {
                self.cut_in[host] = long;
                self.cut_out[host] = long;
            }
            Fault::PeersCutOneWay => self.cut_in[host] = long,
        }
    }

    fn flood(&mut self, host: usize, rank: &'static str) {
        self.send(Node::World, Duration::ZERO, Message::Flood { host, rank, left: FLOOD });
    }

    /// Takes a backend server out of service as planned.
    pub(super) fn drain(&mut self, backend: usize) {
        self.backends[backend].drains.get_or_insert(self.now);
        self.ledger.backend_leaves(backend, self.now);
    }

    /// Tells the platform of an entry host that starts, leaves, or is gone.
    pub(super) fn list_host(&mut self, host: usize, is_leaving: Option<bool>) {
        let mut next = self.listings.last().map(|(_, it)| it.clone()).unwrap_or_default();
        match is_leaving {
            Some(it) => next.insert(host, it),
            None => next.remove(&host),
        };
        self.listings.push((self.now, next));
    }

    /// Entry hosts that the platform lists, and whether each is marked as leaving.
    pub(super) fn listed_hosts(&self) -> BTreeMap<usize, bool> {
        let seen = self.listed_until();
        let found = self.listings.iter().rev().find(|(at, _)| *at <= seen);
        found.map(|(_, it)| it.clone()).unwrap_or_default()
    }

    /// Whether the platform's list shows a backend server as leaving.
    pub(super) fn is_listed_leaving(&self, backend: usize) -> bool {
        self.backends[backend].drains.is_some_and(|it| it <= self.listed_until())
    }

    /// The time up to which the list knows what happened.
    fn listed_until(&self) -> Instant {
        let seen = match self.list_frozen {
            Some((from, until)) if self.now < until => from,
            _ => self.now,
        };
        seen.checked_sub(LIST_LAG).unwrap_or(seen)
    }
}
