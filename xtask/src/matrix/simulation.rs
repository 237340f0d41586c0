//! Simulates a cell.

use std::{
    fmt::Write,
    time::{Duration, Instant},
};

use document::{Publication, publication};

use super::{
    author::Author,
    backend::{Backend, SLOTS},
    caller::{Caller, Kind},
    cell::Cell,
    guard::Guard,
    host::{Host, domain, upstream},
    log::Log,
    message::{Call, Endpoint, Message},
    network::{BACKENDS, HOSTS, MESSAGE_DELAY, Network},
    promise::Verdict,
    step::Subject,
};

/// Duration of a cell. All faults have ended by then.
const DURATION: Duration = Duration::from_secs(13);
/// Time at which the last host starts, if hosts are the subject of the cell.
const LATE_START: Duration = Duration::from_millis(1_500);
/// Time at which the last entry host and the last backend server start a planned shutdown.
const LEAVE_TIME: Duration = Duration::from_secs(4);
/// Times at which the first author makes changes.
const EDIT_TIMES: [Duration; 2] = [Duration::from_millis(1_500), Duration::from_secs(5)];
/// Interval of the requests of a flood.
const FLOOD_INTERVAL: Duration = Duration::from_micros(800);
/// Deadline of a flood's requests.
const FLOOD_DEADLINE: Duration = Duration::from_millis(300);

/// The state of a cell.
struct Simulation {
    net: Network,
    log: Log,
    hosts: Vec<Option<Host>>,
    backends: Vec<Backend>,
    callers: Vec<Caller>,
    authors: Vec<Author>,
}

/// Simulates a cell, with one guard disabled if `disabled_guard` is set.
pub(super) fn run(cell: Cell, disabled_guard: Option<Guard>) -> Verdict {
    let net = Network::new(cell, disabled_guard);
    let start = net.now;
    let mut simulation = Simulation {
        log: Log::default(),
        hosts: (0..HOSTS).map(|_| None).collect(),
        backends: (0..BACKENDS).map(Backend::new).collect(),
        callers: Vec::new(),
        authors: (0..3).map(Author::new).collect(),
        net,
    };
    simulation.begin(cell, start);
    while let Some((to, message)) = simulation.net.receive(start + DURATION) {
        simulation.deliver(to, message);
    }
    let live = simulation.net.live();
    simulation.net.ledger.finish(&live)
}

impl Simulation {
    fn begin(&mut self, cell: Cell, start: Instant) {
        self.log.append(publication::STREAM, first_document().encode().into(), &mut self.net);
        let is_host_subject = cell.step.subject() == Subject::Host;
        for number in 0..HOSTS {
            let is_late = is_host_subject && number == HOSTS - 1;
            let after = if is_late { LATE_START } else { Duration::ZERO };
            self.net.send(Endpoint::Simulation, after, Message::Start(number));
        }
        self.callers = caller_kinds()
            .into_iter()
            .enumerate()
            .map(|(number, kind)| Caller::start(number, kind, &mut self.net))
            .collect();
        for at in EDIT_TIMES {
            self.net.send(Endpoint::Author(0), at, Message::Edit);
        }
        self.net.send(Endpoint::Simulation, LEAVE_TIME, Message::Leave);
        debug_assert_eq!(self.net.now, start);
    }

    fn deliver(&mut self, to: Endpoint, message: Message) {
        let net = &mut self.net;
        match to {
            Endpoint::Host(number, _) => {
                if let Some(host) = &mut self.hosts[number] {
                    host.handle(message, net);
                }
            }
            Endpoint::Backend(number) => self.backends[number].handle(&message, net),
            Endpoint::Log => self.log.handle(message, net),
            Endpoint::Caller(number) => {
                if let Some(caller) = self.callers.get_mut(number) {
                    caller.handle(message, net);
                } else if let Message::Reply { job, reply } = message {
                    net.ledger.record_reply(job, reply);
                }
            }
            Endpoint::Author(number) => self.authors[number].handle(&message, net),
            Endpoint::Simulation => self.handle_control(&message),
        }
    }

    fn handle_control(&mut self, message: &Message) {
        let net = &mut self.net;
        match *message {
            Message::Start(number) if !net.up[number] => {
                self.hosts[number] = Some(Host::start(number, net));
            }
            Message::Kill(number) if net.up[number] => {
                net.up[number] = false;
                net.list_host(number, None);
                net.ledger.record_host_crash(number);
            }
            Message::Leave => {
                net.drain(BACKENDS - 1);
                let last = net.host(HOSTS - 1);
                net.send(last, Duration::ZERO, Message::Leave);
            }
            Message::Repeat => net.repeat_fault(),
            Message::Flood { host, rank, left } if left > 0 => {
                let call = Call {
                    caller: usize::MAX,
                    job: net.new_id(),
                    rank,
                    is_idempotent: true,
                    key: None,
                    acknowledged: 0,
                    deadline: net.now + FLOOD_DEADLINE,
                };
                net.send(net.host(host), MESSAGE_DELAY, Message::Call(call));
                let flood = Message::Flood { host, rank, left: left - 1 };
                net.send(Endpoint::Simulation, FLOOD_INTERVAL, flood);
            }
            _ => {}
        }
    }
}

fn caller_kinds() -> Vec<Kind> {
    let reader = |rank, every, deadline| Kind::Reader {
        rank,
        every: Duration::from_millis(every),
        deadline: Duration::from_millis(deadline),
    };
    vec![
        reader("urgent", 12, 300),
        reader("bulk", 40, 1_500),
        Kind::Session,
        Kind::Session,
        Kind::OwnKey,
    ]
}

fn first_document() -> Publication {
    let mut text = String::from("[team ops]\nadmin = yes\n");
    for (order, (rank, floor)) in [("urgent", 40), ("normal", 25), ("bulk", 10)].iter().enumerate()
    {
        // Writing to a string can't fail.
        let _ = write!(text, "[rank {rank}]\norder = {order}\nfloor_percent = {floor}\n");
    }
    text.push_str("[service stock]\nowner = ops\n");
    for it in 0..BACKENDS {
        let (id, domain) = (upstream(it), domain(it));
        let _ = write!(
            text,
            "[upstream {id}]\nservice = stock\naddress = 127.0.0.1:{}\ndomain = {domain}\n\
             slots = {SLOTS}\nconnections = 100\n",
            9_000 + it
        );
    }
    let sections = document::split(&text).unwrap_or_default();
    let set = |it: &document::Section| publication::Change::Set { text: it.text.to_string() };
    Publication {
        id: "first".into(),
        author: "ops".into(),
        base: 0,
        made_at_s: 0,
        note: String::new(),
        changes: sections.iter().map(set).collect(),
    }
}
