//! Faults in overlapping series, and the calm end.

use std::{
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use platform_standin::{config, store::Fault, upstream::Mode};
use rustix::process::Signal;

use crate::{Result, proxy::Harm, watcher, world::World};

/// Time between the beginnings of two faults, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 100..500;
/// How long a fault lasts, in milliseconds.
const LAST_MS: std::ops::Range<u64> = 300..2_500;
/// Longest time of a planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(8);
/// Time after the last fault in which everything must be well again.
const RECOVERY: Duration = Duration::from_secs(8);
/// Time in which a configuration or a leaving upstream must be known everywhere.
const NEWS_LIMIT: Duration = Duration::from_secs(4);

/// Memory of a daemon's host: the default of its settings.
const MEMORY_LIMIT: u64 = 512 << 20;

/// What ends a fault.
enum End {
    Store,
    StoreLink,
    Upstream(usize),
    AllUpstreams,
    UpstreamLink(usize),
    Returning(usize),
    Paused(usize),
    Stopping(usize),
    Down(usize),
}

/// Injects faults.
pub(crate) struct Faults<'a> {
    world: &'a World,
    rng: fastrand::Rng,
    ends: Vec<(Instant, End)>,
}

impl<'a> Faults<'a> {
    pub(crate) fn new(world: &'a World, seed: u64) -> Self {
        Self { world, rng: fastrand::Rng::with_seed(seed), ends: Vec::new() }
    }

    /// Injects faults for a time, and ends them all.
    pub(crate) fn run(&mut self, length: Duration) -> Result<()> {
        let until = Instant::now() + length;
        while Instant::now() < until {
            self.begin()?;
            let next = Instant::now() + Duration::from_millis(self.rng.u64(GAP_MS));
            while Instant::now() < next {
                self.end_due(false)?;
                thread::sleep(Duration::from_millis(10));
            }
        }
        self.end_due(true)
    }

    fn begin(&mut self) -> Result<()> {
        let world = self.world;
        let upstream = self.rng.usize(..world.upstreams.len());
        let daemon = self.rng.usize(..world.daemons.borrow().len());
        let harm = match self.rng.u8(..4) {
            0 => Harm::Delay(Duration::from_millis(self.rng.u64(10..400))),
            1 => Harm::Silence,
            2 => Harm::OneWay,
            _ => Harm::Close,
        };
        let (kind, end) = match self.rng.u8(..13) {
            0 => {
                let fault = if self.rng.bool() { Fault::Refuse(503) } else { Fault::Garble };
                world.store.set_fault(fault);
                ("store", Some(End::Store))
            }
            1 => {
                world.store_proxy.set(harm);
                ("store-link", Some(End::StoreLink))
            }
            2 => {
                let modes = [Mode::Shed, Mode::Unsigned, Mode::Garble, Mode::Slow];
                world.upstreams[upstream].0.set_mode(modes[self.rng.usize(..modes.len())]);
                ("upstream", Some(End::Upstream(upstream)))
            }
            3 => {
                world.upstreams[upstream].1.set(harm);
                ("upstream-link", Some(End::UpstreamLink(upstream)))
            }
            4 => {
                let state = if self.rng.bool() { "draining" } else { "odd" };
                world.register(upstream, state);
                ("leaving", Some(End::Returning(upstream)))
            }
            5 => {
                world.publish();
                ("config", None)
            }
            6 => {
                world.store.compact(if self.rng.bool() {
                    config::TOPIC
                } else {
                    config::UPSTREAMS
                });
                ("compact", None)
            }
            12 => {
                world.upstreams.iter().for_each(|it| it.0.set_mode(Mode::Shed));
                ("all-refuse", Some(End::AllUpstreams))
            }
            7 => {
                world.misplace(upstream);
                ("address-reused", Some(End::Returning(upstream)))
            }
            8 => {
                world.lapse(upstream);
                ("lapsed", Some(End::Returning(upstream)))
            }
            9 if self.is_up(daemon) => {
                world.daemons.borrow()[daemon].signal(Signal::STOP)?;
                ("pause", Some(End::Paused(daemon)))
            }
            10 if self.is_up(daemon) => {
                world.daemons.borrow()[daemon].signal(Signal::TERM)?;
                ("terminate", Some(End::Stopping(daemon)))
            }
            11 if self.is_up(daemon) => {
                world.daemons.borrow()[daemon].signal(Signal::KILL)?;
                ("kill", Some(End::Down(daemon)))
            }
            _ => {
                if self.is_up(daemon) {
                    world.daemons.borrow()[daemon].signal(Signal::HUP)?;
                }
                ("reload", None)
            }
        };
        world.target.ledger.fault(kind);
        if let Some(it) = end {
            let last = Duration::from_millis(self.rng.u64(LAST_MS));
            self.ends.push((Instant::now() + last, it));
        }
        Ok(())
    }

    /// Whether a daemon runs and no fault of its process is going on.
    fn is_up(&self, daemon: usize) -> bool {
        !self.ends.iter().any(|(_, it)| match it {
            End::Paused(it) | End::Stopping(it) | End::Down(it) => *it == daemon,
            _ => false,
        })
    }

    fn end_due(&mut self, all: bool) -> Result<()> {
        let now = Instant::now();
        let is_due = |at: &Instant| all || *at <= now;
        let (due, rest): (Vec<_>, Vec<_>) = self.ends.drain(..).partition(|(at, _)| is_due(at));
        self.ends = rest;
        for (_, it) in due {
            self.end(&it)?;
        }
        Ok(())
    }

    fn end(&self, end: &End) -> Result<()> {
        let world = self.world;
        match end {
            End::Store => world.store.set_fault(Fault::None),
            End::StoreLink => world.store_proxy.set(Harm::None),
            End::Upstream(it) => world.upstreams[*it].0.set_mode(Mode::Good),
            End::AllUpstreams => world.upstreams.iter().for_each(|it| it.0.set_mode(Mode::Good)),
            End::UpstreamLink(it) => world.upstreams[*it].1.set(Harm::None),
            End::Returning(it) => world.register(*it, "ready"),
            End::Paused(it) => world.daemons.borrow()[*it].signal(Signal::CONT)?,
            End::Stopping(it) => {
                let mut daemons = world.daemons.borrow_mut();
                if !daemons[*it].wait(STOP_LIMIT)? {
                    world.target.ledger.find(format!("daemon {it} did not end when told to"));
                }
                daemons[*it].start()?;
            }
            End::Down(it) => {
                let mut daemons = world.daemons.borrow_mut();
                daemons[*it].wait(STOP_LIMIT)?;
                daemons[*it].start()?;
            }
        }
        Ok(())
    }

    /// Checks that no daemon has held more memory than its settings allow.
    fn check_memory(&self) {
        for (number, it) in self.world.daemons.borrow().iter().enumerate() {
            let peak = it.peak_bytes().unwrap_or_default();
            if peak > MEMORY_LIMIT {
                self.world.target.ledger.find(format!("daemon {number} held {peak} bytes"));
            }
        }
    }

    /// Checks that everything recovers, that news are known everywhere in time, and that planned stops
    /// cut nothing.
    pub(crate) fn calm_end(&mut self) -> Result<()> {
        let world = self.world;
        let ledger = &world.target.ledger;
        if !world.wait_ready() {
            ledger.find("not every daemon became ready again".to_owned());
        }
        thread::sleep(RECOVERY);
        world.target.is_calm.store(true, Ordering::Relaxed);
        world.publish();
        thread::sleep(NEWS_LIMIT);
        for (number, it) in world.daemons.borrow().iter().enumerate() {
            let path = world.newest_path();
            if !watcher::serves(it.callers, &path, "GET-check", NEWS_LIMIT).unwrap_or(false) {
                ledger.find(format!("daemon {number} does not serve the newest configuration"));
            }
        }
        self.check_memory();
        world.register(0, "draining");
        thread::sleep(NEWS_LIMIT);
        let before = world.upstreams[0].0.runs();
        let count = world.daemons.borrow().len();
        for number in 0..count {
            let mut daemons = world.daemons.borrow_mut();
            daemons[number].signal(Signal::TERM)?;
            if !daemons[number].wait(STOP_LIMIT)? {
                ledger.find(format!("daemon {number} did not end when told to"));
            }
            // Callers here don't ask the directory, so a connection may be refused until the restart.
            world.target.is_calm.store(false, Ordering::Relaxed);
            daemons[number].start()?;
            drop(daemons);
            if !world.wait_ready() {
                ledger.find(format!("daemon {number} did not become ready after a planned stop"));
            }
            world.target.is_calm.store(true, Ordering::Relaxed);
        }
        if world.upstreams[0].0.runs() != before {
            ledger.find("a leaving upstream got new requests".to_owned());
        }
        if world.target.calm_requests.load(Ordering::Relaxed) == 0 {
            ledger.find("no request was sent in the calm time".to_owned());
        }
        Ok(())
    }
}
