//! Virtual time, delivery of messages, and the active faults.

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
    message::{Endpoint, Generation, Job, Message},
    step::{Step, Subject},
};

/// Number of entry hosts in a cell.
pub(super) const HOSTS: usize = 3;
/// Number of backend servers in a cell.
pub(super) const BACKENDS: usize = 3;
/// The marked request, whose steps trigger the faults of a cell.
pub(super) const MARKED_REQUEST: Job = 1;
/// The marked order, whose steps trigger the faults of a cell.
pub(super) const MARKED_ORDER: Job = 2;
/// Delivery time of a message.
pub(super) const MESSAGE_DELAY: Duration = Duration::from_micros(300);
/// Duration of most faults.
const SHORT_FAULT: Duration = Duration::from_secs(1);
/// Duration of faults that must last longer than the time until a host is suspected.
const LONG_FAULT: Duration = Duration::from_millis(2_500);
/// Time between the two injections of a repeated fault.
const REPEAT_DELAY: Duration = Duration::from_millis(800);
/// Time until a killed host restarts.
const RESTART_DELAY: Duration = Duration::from_millis(700);
/// Delay until changes appear in the platform's host list.
const HOST_LIST_LAG: Duration = Duration::from_millis(500);
/// Time for which a stale host list stays unchanged.
const HOST_LIST_FREEZE: Duration = Duration::from_secs(6);
/// Number of requests in a flood.
const FLOOD_REQUESTS: u32 = 800;

/// The faults of a backend server, each with the time at which it ends. Draining does not end.
#[derive(Clone, Copy, Debug)]
pub(super) struct BackendFaults {
    pub(super) slow_until: Instant,
    pub(super) stalled_until: Instant,
    pub(super) failing_until: Instant,
    pub(super) refusing_until: Instant,
    pub(super) resetting_until: Instant,
    pub(super) cutting_until: Instant,
    pub(super) late_until: Instant,
    pub(super) swapping_until: Instant,
    pub(super) draining_since: Option<Instant>,
}

/// Virtual time, delivery of messages, and the active faults.
pub(super) struct Network {
    pub(super) now: Instant,
    pub(super) random: fastrand::Rng,
    pub(super) ledger: Ledger,
    pub(super) backends: Vec<BackendFaults>,
    pub(super) log_down_until: Instant,
    pub(super) log_slow_until: Instant,
    pub(super) log_losing_answers_until: Instant,
    pub(super) generations: [Generation; HOSTS],
    pub(super) up: [bool; HOSTS],
    paused_until: [Instant; HOSTS],
    inbound_cut_until: [Instant; HOSTS],
    outbound_cut_until: [Instant; HOSTS],
    host_list_frozen: Option<(Instant, Instant)>,
    /// The history of the host list: each entry host and whether it is leaving, from the given time
    /// on.
    host_lists: Vec<(Instant, BTreeMap<usize, bool>)>,
    disabled_guard: Option<Guard>,
    cell: Option<Cell>,
    pending_repeat: Option<(Fault, usize, usize)>,
    queue: BinaryHeap<Reverse<Delivery>>,
    sequence: u64,
    last_id: Job,
}

struct Delivery {
    at: Instant,
    sequence: u64,
    to: Endpoint,
    message: Message,
}

impl PartialEq for Delivery {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Delivery {}

impl PartialOrd for Delivery {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Delivery {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

impl Network {
    pub(super) fn new(cell: Cell, disabled_guard: Option<Guard>) -> Self {
        let now = Instant::now();
        let backend = BackendFaults {
            slow_until: now,
            stalled_until: now,
            failing_until: now,
            refusing_until: now,
            resetting_until: now,
            cutting_until: now,
            late_until: now,
            swapping_until: now,
            draining_since: None,
        };
        Self {
            now,
            random: fastrand::Rng::with_seed(cell.seed),
            ledger: Ledger::new(now, u32::try_from(HOSTS).unwrap_or(u32::MAX)),
            backends: vec![backend; BACKENDS],
            log_down_until: now,
            log_slow_until: now,
            log_losing_answers_until: now,
            generations: [0; HOSTS],
            up: [false; HOSTS],
            paused_until: [now; HOSTS],
            inbound_cut_until: [now; HOSTS],
            outbound_cut_until: [now; HOSTS],
            host_list_frozen: None,
            host_lists: Vec::new(),
            disabled_guard,
            cell: Some(cell),
            pending_repeat: None,
            queue: BinaryHeap::new(),
            sequence: 0,
            last_id: 100,
        }
    }

    /// Whether a guard is enabled.
    pub(super) fn has_guard(&self, guard: Guard) -> bool {
        self.disabled_guard != Some(guard)
    }

    pub(super) fn new_id(&mut self) -> Job {
        self.last_id += 1;
        self.last_id
    }

    pub(super) fn host(&self, number: usize) -> Endpoint {
        Endpoint::Host(number, self.generations[number])
    }

    /// Hosts that are running.
    pub(super) fn live(&self) -> Vec<usize> {
        (0..HOSTS).filter(|it| self.up[*it]).collect()
    }

    pub(super) fn send(&mut self, to: Endpoint, after: Duration, message: Message) {
        self.sequence += 1;
        let delivery = Delivery { at: self.now + after, sequence: self.sequence, to, message };
        self.queue.push(Reverse(delivery));
    }

    /// Sends from one entry host to another, unless a fault cuts the connection.
    pub(super) fn send_peer(&mut self, from: usize, to: Endpoint, message: Message) {
        let Endpoint::Host(number, _) = to else { return };
        if self.outbound_cut_until[from] <= self.now && self.inbound_cut_until[number] <= self.now {
            self.send(to, MESSAGE_DELAY, message);
        }
    }

    /// Returns the next message and its receiver, or `None` after `end`. Messages to stopped or
    /// restarted hosts are lost, and those to paused hosts are deferred.
    pub(super) fn receive(&mut self, end: Instant) -> Option<(Endpoint, Message)> {
        loop {
            let Reverse(mut delivery) = self.queue.pop()?;
            if delivery.at > end {
                return None;
            }
            self.now = delivery.at;
            let Endpoint::Host(number, generation) = delivery.to else {
                return Some((delivery.to, delivery.message));
            };
            if self.generations[number] != generation || !self.up[number] {
                continue;
            }
            if self.paused_until[number] > self.now {
                delivery.at = self.paused_until[number];
                self.queue.push(Reverse(delivery));
                continue;
            }
            return Some((delivery.to, delivery.message));
        }
    }

    /// Records that `job` has reached a step, if it is the marked request or order.
    pub(super) fn reach_job(&mut self, job: Job, step: Step, host: usize, backend: Option<usize>) {
        let marked_job =
            if step.subject() == Subject::Order { MARKED_ORDER } else { MARKED_REQUEST };
        if job == marked_job {
            self.reach(step, host, backend);
        }
    }

    /// Injects the faults of the cell if `step` is its step and has not been reached before.
    pub(super) fn reach(&mut self, step: Step, host: usize, backend: Option<usize>) {
        let Some(cell) = self.cell.filter(|it| it.step == step) else { return };
        self.cell = None;
        self.ledger.verdict.is_reached = true;
        let backend = backend.unwrap_or(0);
        self.inject(cell.first, host, backend);
        match cell.second {
            Some(it) if it == cell.first => {
                self.pending_repeat = Some((it, (host + 1) % HOSTS, (backend + 1) % BACKENDS));
                self.send(Endpoint::Simulation, REPEAT_DELAY, Message::Repeat);
            }
            Some(it) => self.inject(it, host, backend),
            None => {}
        }
    }

    /// Whether the faults of the cell will be injected at this step.
    pub(super) fn awaits(&self, step: Step) -> bool {
        self.cell.is_some_and(|it| it.step == step)
    }

    /// Injects a fault for the second time, at the next host and the next backend server.
    pub(super) fn repeat_fault(&mut self) {
        if let Some((fault, host, backend)) = self.pending_repeat.take() {
            self.inject(fault, host, backend);
        }
    }

    fn inject(&mut self, fault: Fault, host: usize, backend: usize) {
        let now = self.now;
        let (short, long) = (now + SHORT_FAULT, now + LONG_FAULT);
        let target = &mut self.backends[backend];
        match fault {
            Fault::Slow => target.slow_until = long,
            Fault::SuddenSlow => target.stalled_until = short,
            Fault::Drain => self.drain(backend),
            Fault::FailFast => target.failing_until = short,
            Fault::Refused => target.refusing_until = short,
            Fault::Reset => target.resetting_until = short,
            Fault::Cut => target.cutting_until = short,
            Fault::Late => target.late_until = short,
            Fault::Swapped => target.swapping_until = short,
            Fault::BulkFlood => self.flood(host, "bulk"),
            Fault::UrgentFlood => self.flood(host, "urgent"),
            Fault::LogDown => self.log_down_until = long,
            Fault::LogSlow => self.log_slow_until = long,
            Fault::LogAnswerLost => self.log_losing_answers_until = short,
            Fault::HostListStale => self.host_list_frozen = Some((now, now + HOST_LIST_FREEZE)),
            Fault::HostPaused => self.paused_until[host] = long,
            Fault::EditorsRace => {
                for author in [1, 2] {
                    self.send(Endpoint::Author(author), Duration::ZERO, Message::Edit);
                }
            }
            Fault::HostKilled => {
                self.send(Endpoint::Simulation, Duration::ZERO, Message::Kill(host));
                self.send(Endpoint::Simulation, RESTART_DELAY, Message::Start(host));
            }
            Fault::HostLeaving => self.send(self.host(host), Duration::ZERO, Message::Leave),
            Fault::PeersCut => {
                self.inbound_cut_until[host] = long;
                self.outbound_cut_until[host] = long;
            }
            Fault::PeersCutOneWay => self.inbound_cut_until[host] = long,
        }
    }

    fn flood(&mut self, host: usize, rank: &'static str) {
        self.send(
            Endpoint::Simulation,
            Duration::ZERO,
            Message::Flood { host, rank, left: FLOOD_REQUESTS },
        );
    }

    /// Starts the planned shutdown of a backend server.
    pub(super) fn drain(&mut self, backend: usize) {
        self.backends[backend].draining_since.get_or_insert(self.now);
        self.ledger.record_backend_leaving(backend, self.now);
    }

    /// Updates the platform's host list for an entry host that starts, leaves or has stopped
    /// (`None`).
    pub(super) fn list_host(&mut self, host: usize, is_leaving: Option<bool>) {
        let mut next = self.host_lists.last().map(|(_, it)| it.clone()).unwrap_or_default();
        match is_leaving {
            Some(it) => next.insert(host, it),
            None => next.remove(&host),
        };
        self.host_lists.push((self.now, next));
    }

    /// Entry hosts on the platform's host list, and whether each is marked as leaving.
    pub(super) fn listed_hosts(&self) -> BTreeMap<usize, bool> {
        let visible_until = self.host_list_time();
        let found = self.host_lists.iter().rev().find(|(at, _)| *at <= visible_until);
        found.map(|(_, it)| it.clone()).unwrap_or_default()
    }

    /// Whether the platform's host list marks a backend server as leaving.
    pub(super) fn is_listed_leaving(&self, backend: usize) -> bool {
        self.backends[backend].draining_since.is_some_and(|it| it <= self.host_list_time())
    }

    /// The time up to which changes are visible in the host list.
    fn host_list_time(&self) -> Instant {
        let visible_until = match self.host_list_frozen {
            Some((from, until)) if self.now < until => from,
            _ => self.now,
        };
        visible_until.checked_sub(HOST_LIST_LAG).unwrap_or(visible_until)
    }
}
