//! Upstreams, a store that executes writes late and twice, and daemons that read it and tell each
//! other, without network and at random: no daemon takes an upstream for ready that has said, in a
//! later write, that it leaves, and in the end all know what each upstream wrote last.

mod registration;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use gateway::registry::{Change, Fold, Registration, Removal, Revision, State, UpstreamId};
use registration::upstream;

const SEEDS: u64 = 2_000;
const STEPS: usize = 300;
const UPSTREAMS: usize = 4;
const DAEMONS: usize = 3;
const GRACE: Duration = Duration::from_secs(2);

/// What a daemon tells its peers of the records from one offset up to another one.
#[derive(Clone)]
struct Relay {
    from: u64,
    to: u64,
    changes: Vec<(u64, Change)>,
}

/// A daemon, and what it has heard.
struct Daemon {
    fold: Fold,
    /// Newest write of each upstream that it has heard of.
    newest: BTreeMap<UpstreamId, Registration>,
    /// Relays that have not arrived.
    inbox: Vec<Relay>,
}

impl Daemon {
    fn new() -> Self {
        Self { fold: Fold::new(GRACE), newest: BTreeMap::new(), inbox: Vec::new() }
    }

    fn hear(&mut self, change: &Change) {
        let Change::Put(write) = change else { return };
        let newest = self.newest.entry(write.id.clone()).or_insert_with(|| write.clone());
        if revision(write) > revision(newest) {
            newest.clone_from(write);
        }
    }
}

struct Emulation {
    rng: fastrand::Rng,
    now: Instant,
    /// What each upstream has written last.
    upstreams: Vec<Registration>,
    /// Whether each upstream has left.
    left: Vec<bool>,
    /// Writes that the store has not executed yet.
    late: Vec<Registration>,
    /// What the store has executed.
    log: Vec<Change>,
    daemons: Vec<Daemon>,
}

fn revision(it: &Registration) -> Revision {
    Revision { born_ms: it.born_ms, seq: it.seq }
}

impl Emulation {
    fn new(seed: u64) -> Self {
        let mut res = Self {
            rng: fastrand::Rng::with_seed(seed),
            now: Instant::now(),
            upstreams: (0..UPSTREAMS).map(|it| upstream(&format!("u{it}"), 1)).collect(),
            left: vec![false; UPSTREAMS],
            late: Vec::new(),
            log: Vec::new(),
            daemons: (0..DAEMONS).map(|_| Daemon::new()).collect(),
        };
        (0..UPSTREAMS).for_each(|it| res.write(it));
        res
    }

    /// Sends the newest write of an upstream to the store, which may execute it later, or also later.
    fn write(&mut self, number: usize) {
        let it = self.upstreams[number].clone();
        let fate = self.rng.u8(..4);
        if fate != 0 {
            self.log.push(Change::Put(it.clone()));
        }
        if fate <= 1 {
            self.late.push(it);
        }
    }

    fn act(&mut self, number: usize) {
        let has_left = self.left[number];
        let port = 80 + self.rng.u16(..3);
        let it = &mut self.upstreams[number];
        it.seq += 1;
        match self.rng.u8(..6) {
            // A new start under the old id, at any address.
            0 => {
                (it.born_ms, it.seq, it.state) = (it.born_ms + 1, 1, State::Ready);
                it.address.set_port(port);
                self.left[number] = false;
            }
            1 if it.state == State::Leaving && !has_left => {
                let removal = Removal { id: it.id.clone(), revision: Revision::default() };
                self.left[number] = true;
                self.log.push(Change::Removed(removal));
                return;
            }
            _ if has_left => return,
            2 => it.state = State::Leaving,
            _ => {}
        }
        self.write(number);
    }

    fn execute_late(&mut self) {
        if !self.late.is_empty() {
            let it = self.late.swap_remove(self.rng.usize(..self.late.len()));
            self.log.push(Change::Put(it));
        }
    }

    /// The entries as the store lists them.
    fn list(&self) -> Vec<Registration> {
        let mut res = BTreeMap::new();
        for it in &self.log {
            match it {
                Change::Put(it) => drop(res.insert(it.id.clone(), it.clone())),
                Change::Removed(it) => drop(res.remove(&it.id)),
            }
        }
        res.into_values().collect()
    }

    /// Has a daemon read some records, apply them and relay what has an effect.
    fn read(&mut self, daemon: usize) {
        let count = self.rng.usize(1..6);
        let it = &mut self.daemons[daemon];
        let from = it.fold.end();
        let mut relay = Relay { from, to: from, changes: Vec::new() };
        for record in self.log.iter().skip(usize::try_from(from).unwrap()).take(count) {
            let change = it.fold.complete(record.clone());
            it.hear(&change);
            if it.fold.apply(self.now, change.clone()).is_some() {
                relay.changes.push((relay.to, change));
            }
            relay.to += 1;
        }
        it.fold.advance(relay.to);
        for (number, peer) in self.daemons.iter_mut().enumerate() {
            // Some get lost.
            if number != daemon && self.rng.u8(..4) != 0 {
                peer.inbox.push(relay.clone());
            }
        }
    }

    /// Has a daemon receive a relay, in any order. It skips what it knows, and can't use what begins
    /// behind that.
    fn receive(&mut self, daemon: usize) {
        let it = &mut self.daemons[daemon];
        if it.inbox.is_empty() {
            return;
        }
        let relay = it.inbox.swap_remove(self.rng.usize(..it.inbox.len()));
        let end = it.fold.end();
        if relay.from > end {
            return;
        }
        for (_, change) in relay.changes.into_iter().filter(|(offset, _)| *offset >= end) {
            it.hear(&change);
            it.fold.apply_from_peer(change);
        }
        it.fold.advance(relay.to);
    }

    /// Compares two daemons. Those that have read equally far and differ take over what the other one
    /// knows better. Returns whether they differed.
    fn compare(&mut self, daemon: usize, peer: usize) -> bool {
        let [daemon, peer] = self.daemons.get_disjoint_mut([daemon, peer]).unwrap();
        if !daemon.fold.differs(peer.fold.end(), peer.fold.digest()) {
            return false;
        }
        let snapshot = |it: &Fold| (it.entries().cloned().collect(), it.newest_removals(100));
        let (known, by_peer) = (snapshot(&daemon.fold), snapshot(&peer.fold));
        daemon.fold.merge(by_peer.0, by_peer.1);
        peer.fold.merge(known.0, known.1);
        true
    }

    /// Starts a daemon anew: it reads the store's list.
    fn restart(&mut self, daemon: usize) {
        let mut new = Daemon::new();
        new.fold.replace(self.now, self.list(), 0, self.log.len() as u64);
        new.inbox = std::mem::take(&mut self.daemons[daemon].inbox);
        self.daemons[daemon] = new;
    }

    fn step(&mut self) {
        let daemon = self.rng.usize(..DAEMONS);
        match self.rng.u8(..20) {
            0..5 => {
                let number = self.rng.usize(..UPSTREAMS);
                self.act(number);
            }
            5..7 => self.execute_late(),
            7..14 => self.read(daemon),
            14..18 => self.receive(daemon),
            18 => _ = self.compare(daemon, (daemon + 1) % DAEMONS),
            _ => self.restart(daemon),
        }
    }

    fn check_safety(&self, seed: u64) {
        for (number, daemon) in self.daemons.iter().enumerate() {
            for newest in daemon.newest.values().filter(|it| it.state == State::Leaving) {
                let mut entries = daemon.fold.entries();
                let Some(entry) = entries.find(|it| it.id == newest.id) else { continue };
                let is_known = entry.state == State::Leaving || revision(entry) > revision(newest);
                assert!(is_known, "seed {seed}, daemon {number}: {entry:?} behind {newest:?}");
            }
        }
    }

    /// Lets everything arrive, and checks that each daemon knows the newest write of each upstream.
    fn check_end(&mut self, seed: u64) {
        while !self.late.is_empty() {
            self.execute_late();
        }
        for number in 0..UPSTREAMS {
            let it = &mut self.upstreams[number];
            it.seq += 1;
            // What was written late for one that has left lapses.
            let removal = Removal { id: it.id.clone(), revision: Revision::default() };
            let write = Change::Put(it.clone());
            self.log.push(if self.left[number] { Change::Removed(removal) } else { write });
        }
        for daemon in 0..DAEMONS {
            while self.daemons[daemon].fold.end() < self.log.len() as u64 {
                self.read(daemon);
            }
        }
        for daemon in 0..DAEMONS {
            while !self.daemons[daemon].inbox.is_empty() {
                self.receive(daemon);
            }
        }
        for (daemon, peer) in [(0, 1), (1, 2), (2, 0), (0, 1)] {
            if self.compare(daemon, peer) {
                // Those that go on differing read the whole list.
                for it in [daemon, peer] {
                    let (list, end) = (self.list(), self.log.len() as u64);
                    self.daemons[it].fold.replace(self.now, list, 0, end);
                }
            }
        }
        self.check_safety(seed);
        for (number, upstream) in self.upstreams.iter().enumerate() {
            for (daemon, it) in self.daemons.iter().enumerate() {
                let entry = it.fold.entries().find(|it| it.id == upstream.id);
                let known = entry.map(|it| (it.state, it.born_ms, it.address));
                let written = (upstream.state, upstream.born_ms, upstream.address);
                let expected = if self.left[number] { None } else { Some(written) };
                assert_eq!(known, expected, "seed {seed}, daemon {daemon}, upstream {number}");
            }
        }
    }
}

#[test]
fn newest_writes_hold() {
    for seed in 0..SEEDS {
        let mut emulation = Emulation::new(seed);
        for _ in 0..STEPS {
            emulation.step();
            emulation.check_safety(seed);
        }
        emulation.check_end(seed);
    }
}
