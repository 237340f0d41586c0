//! Plays one cell from start to end.

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
    message::{Call, Message, Node},
    net::{BACKENDS, HOP, HOSTS, Net},
    promise::Verdict,
    step::Subject,
};

/// When the cell ends; all faults have passed by then.
const END: Duration = Duration::from_secs(13);
/// When the last host begins its life, if its life is the subject.
const LATE_START: Duration = Duration::from_millis(1_500);
/// When the last entry host and the last backend server leave as planned.
const LEAVE: Duration = Duration::from_secs(4);
/// When the first author makes changes.
const EDITS: [Duration; 2] = [Duration::from_millis(1_500), Duration::from_secs(5)];
/// Pause between two requests of a flood.
const FLOOD_PAUSE: Duration = Duration::from_micros(800);
/// Deadline of a flood's requests.
const FLOOD_DEADLINE: Duration = Duration::from_millis(300);

/// Everything in a cell.
struct World {
    net: Net,
    log: Log,
    hosts: Vec<Option<Host>>,
    backends: Vec<Backend>,
    callers: Vec<Caller>,
    authors: Vec<Author>,
}

/// Plays a cell, with one guard removed if `off` names one.
pub(super) fn play(cell: Cell, off: Option<Guard>) -> Verdict {
    let net = Net::new(cell, off);
    let start = net.now;
    let mut world = World {
        log: Log::default(),
        hosts: (0..HOSTS).map(|_| None).collect(),
        backends: (0..BACKENDS).map(Backend::new).collect(),
        callers: Vec::new(),
        authors: (0..3).map(Author::new).collect(),
        net,
    };
    world.begin(cell, start);
    while let Some((to, message)) = world.net.receive(start + END) {
        world.deliver(to, message);
    }
    let live = world.net.live();
    world.net.ledger.close(&live)
}

impl World {
    fn begin(&mut self, cell: Cell, start: Instant) {
        self.log.append(publication::STREAM, first_document().encode().into(), &mut self.net);
        let is_life = cell.step.subject() == Subject::Host;
        for number in 0..HOSTS {
            let is_late = is_life && number == HOSTS - 1;
            let after = if is_late { LATE_START } else { Duration::ZERO };
            self.net.send(Node::World, after, Message::Start(number));
        }
        self.callers = kinds()
            .into_iter()
            .enumerate()
            .map(|(number, kind)| Caller::start(number, kind, &mut self.net))
            .collect();
        for at in EDITS {
            self.net.send(Node::Author(0), at, Message::Edit);
        }
        self.net.send(Node::World, LEAVE, Message::Leave);
        debug_assert_eq!(self.net.now, start);
    }

    fn deliver(&mut self, to: Node, message: Message) {
        let net = &mut self.net;
        match to {
            Node::Host(number, _) => {
                if let Some(host) = &mut self.hosts[number] {
                    host.take(message, net);
                }
            }
            Node::Backend(number) => self.backends[number].take(&message, net),
            Node::Log => self.log.take(message, net),
            Node::Caller(number) => {
                if let Some(caller) = self.callers.get_mut(number) {
                    caller.take(message, net);
                } else if let Message::Reply { job, reply } = message {
                    net.ledger.told(job, reply);
                }
            }
            Node::Author(number) => self.authors[number].take(&message, net),
            Node::World => self.steer(&message),
        }
    }

    fn steer(&mut self, message: &Message) {
        let net = &mut self.net;
        match *message {
            Message::Start(number) if !net.up[number] => {
                self.hosts[number] = Some(Host::start(number, net));
            }
            Message::Kill(number) if net.up[number] => {
                net.up[number] = false;
                net.list_host(number, None);
                net.ledger.host_died(number);
            }
            Message::Leave => {
                net.drain(BACKENDS - 1);
                let last = net.host(HOSTS - 1);
                net.send(last, Duration::ZERO, Message::Leave);
            }
            Message::Repeat => net.inject_again(),
            Message::Flood { host, rank, left } if left > 0 => {
                let call = Call {
                    caller: usize::MAX,
                    job: net.job(),
                    rank,
                    is_idempotent: true,
                    key: None,
                    acknowledged: 0,
                    deadline: net.now + FLOOD_DEADLINE,
                };
                net.send(net.host(host), HOP, Message::Call(call));
                let flood = Message::Flood { host, rank, left: left - 1 };
                net.send(Node::World, FLOOD_PAUSE, flood);
            }
            _ => {}
        }
    }
}

fn kinds() -> Vec<Kind> {
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
