//! Injects overlapping faults.

use std::{
    thread,
    time::{Duration, Instant},
};

use platform_standin::{
    config, proxy, store,
    upstream::{Endless, Mode},
};
use rustix::process::Signal;

use crate::{
    Result,
    environment::{Environment, REPLACED},
    oddities, probe,
};

/// Time from the start of one fault to the start of the next, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 100..500;
/// Duration of a fault, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..2_500;
/// Time within which a daemon must exit after `SIGTERM`.
pub(crate) const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// One in this many faults is accompanied by an evacuation, unless one is in force.
const EVACUATION_EVERY: u8 = 6;
/// One in this many faults is accompanied by an upstream that denies all requests.
const DENIAL_EVERY: u8 = 6;
/// Statuses with which it does.
const DENIAL_STATUSES: [u16; 3] = [302, 400, 404];
/// One in this many of these upstreams signs its answers, which callers must get unchanged then.
const SIGNED_DENIAL_EVERY: u8 = 4;
/// One in this many faults is accompanied by daemons that miss a configuration.
const MISSED_CONFIG_EVERY: u8 = 8;
/// Time for which they miss it, beyond the time limit for applying it, in milliseconds.
const MISSED_CONFIG_EXTRA_MS: std::ops::Range<u64> = 200..1_500;
/// One in this many faults is accompanied by the entry of another writer, by odd settings, by writes that
/// the store executes late and twice, by a store that moves, and by a process that takes over an id.
const ODDITY_EVERY: u8 = 5;

/// The part of the system that must be restored when a fault ends.
enum End {
    Store,
    StoreLink,
    /// A daemon that is cut off from the store.
    Isolation(usize),
    Upstream(usize),
    AllUpstreams,
    UpstreamLink(usize),
    Registration(usize),
    Pause(usize),
    Stop(usize),
    Kill(usize),
    Evacuation,
}

/// Injects faults according to a seeded schedule.
pub(crate) struct Faults<'a> {
    env: &'a Environment,
    rng: fastrand::Rng,
    /// A generator of its own, so that the schedule of the other faults does not depend on evacuations.
    evacuation_rng: fastrand::Rng,
    /// As `evacuation_rng`, for upstreams that deny requests.
    denial_rng: fastrand::Rng,
    /// As `evacuation_rng`, for daemons that miss a configuration.
    missed_rng: fastrand::Rng,
    /// As `evacuation_rng`, for entries of other writers and odd settings.
    oddity_rng: fastrand::Rng,
    /// As `evacuation_rng`, for late writes, stores that move and ids that are taken over.
    change_rng: fastrand::Rng,
    ends: Vec<(Instant, End)>,
}

impl<'a> Faults<'a> {
    pub(crate) fn new(env: &'a Environment, seed: u64) -> Self {
        let oddity_seed = seed.rotate_left(16);
        let missed_seed = !seed.rotate_left(32);
        let [rng, evacuation_rng, denial_rng, missed_rng, oddity_rng, change_rng] =
            [seed, !seed, seed.rotate_left(32), missed_seed, oddity_seed, !oddity_seed]
                .map(fastrand::Rng::with_seed);
        Self {
            env,
            rng,
            evacuation_rng,
            denial_rng,
            missed_rng,
            oddity_rng,
            change_rng,
            ends: Vec::new(),
        }
    }

    /// Injects faults for `length`, then ends all faults that are still active.
    pub(crate) fn run(&mut self, length: Duration) -> Result<()> {
        let until = Instant::now() + length;
        while Instant::now() < until {
            self.begin()?;
            self.begin_evacuation();
            self.begin_denial();
            self.begin_missed_config()?;
            self.begin_oddities()?;
            self.begin_changes()?;
            let next = Instant::now() + Duration::from_millis(self.rng.u64(FAULT_INTERVAL_MS));
            while Instant::now() < next {
                self.end_due(false)?;
                thread::sleep(Duration::from_millis(10));
            }
        }
        self.end_due(true)
    }

    fn begin(&mut self) -> Result<()> {
        let env = self.env;
        let upstream = self.rng.usize(..env.upstreams.len());
        let daemon = self.rng.usize(..env.daemons.borrow().len());
        let link_fault = match self.rng.u8(..4) {
            0 => proxy::Fault::Delay(Duration::from_millis(self.rng.u64(10..400))),
            1 => proxy::Fault::Silence,
            2 => proxy::Fault::OneWay,
            _ => proxy::Fault::Close,
        };
        let (kind, end) = match self.rng.u8(..13) {
            0 => {
                let fault =
                    if self.rng.bool() { store::Fault::Refuse(503) } else { store::Fault::Garble };
                env.store.set_fault(fault);
                ("store", Some(End::Store))
            }
            1 => {
                env.store_links.borrow().iter().for_each(|it| it.set_fault(link_fault));
                ("store-link", Some(End::StoreLink))
            }
            2 => {
                let endless = Endless::ALL[self.rng.usize(..Endless::ALL.len())];
                let pause = Duration::from_millis(self.rng.u64(FAULT_DURATION_MS));
                let modes = [
                    Mode::Shed,
                    Mode::Unsigned,
                    Mode::Garble,
                    Mode::Slow,
                    Mode::Leaving,
                    Mode::Pause(pause),
                    Mode::Repeat,
                    Mode::RepeatProbes,
                    Mode::Endless(endless),
                ];
                env.upstreams[upstream].0.set_mode(modes[self.rng.usize(..modes.len())]);
                ("upstream", Some(End::Upstream(upstream)))
            }
            3 => {
                env.upstreams[upstream].1.set_fault(link_fault);
                ("upstream-link", Some(End::UpstreamLink(upstream)))
            }
            4 => {
                let state = if self.rng.bool() { "draining" } else { "odd" };
                env.register(upstream, state);
                ("leaving", Some(End::Registration(upstream)))
            }
            5 => {
                env.publish();
                ("config", None)
            }
            6 => {
                env.store.compact(if self.rng.bool() { config::TOPIC } else { config::UPSTREAMS });
                ("compact", None)
            }
            12 => {
                env.upstreams.iter().for_each(|it| it.0.set_mode(Mode::Shed));
                ("all-refuse", Some(End::AllUpstreams))
            }
            7 => {
                env.register_reused_address(upstream);
                ("address-reused", Some(End::Registration(upstream)))
            }
            8 => {
                env.deregister(upstream);
                ("lapsed", Some(End::Registration(upstream)))
            }
            9 if self.is_up(daemon) => {
                env.daemons.borrow()[daemon].signal(Signal::STOP)?;
                ("pause", Some(End::Pause(daemon)))
            }
            10 if self.is_up(daemon) => {
                env.daemons.borrow()[daemon].signal(Signal::TERM)?;
                ("terminate", Some(End::Stop(daemon)))
            }
            11 if self.is_up(daemon) => {
                env.daemons.borrow()[daemon].signal(Signal::KILL)?;
                ("kill", Some(End::Kill(daemon)))
            }
            _ => {
                if self.is_up(daemon) {
                    env.daemons.borrow()[daemon].signal(Signal::HUP)?;
                }
                ("reload", None)
            }
        };
        env.context.ledger.record_fault(kind);
        if let Some(it) = end {
            self.ends.push((end_time(&mut self.rng), it));
        }
        Ok(())
    }

    fn begin_evacuation(&mut self) {
        let is_in_force = self.ends.iter().any(|(_, it)| matches!(it, End::Evacuation));
        if is_in_force || self.evacuation_rng.u8(..EVACUATION_EVERY) != 0 {
            return;
        }
        self.env.evacuate();
        self.env.context.ledger.record_fault("evacuation");
        self.ends.push((end_time(&mut self.evacuation_rng), End::Evacuation));
    }

    fn begin_denial(&mut self) {
        let rng = &mut self.denial_rng;
        if rng.u8(..DENIAL_EVERY) != 0 {
            return;
        }
        let upstream = rng.usize(..self.env.upstreams.len());
        let status = DENIAL_STATUSES[rng.usize(..DENIAL_STATUSES.len())];
        let is_signed = rng.u8(..SIGNED_DENIAL_EVERY) == 0;
        self.env.upstreams[upstream].0.set_mode(Mode::Deny { status, is_signed });
        self.env.context.ledger.record_fault(if is_signed { "signed-denial" } else { "denial" });
        self.ends.push((end_time(rng), End::Upstream(upstream)));
    }

    fn begin_oddities(&mut self) -> Result<()> {
        let (env, rng) = (self.env, &mut self.oddity_rng);
        if rng.u8(..ODDITY_EVERY) == 0 {
            let upstream = rng.usize(..env.upstreams.len());
            let form = rng.usize(..config::ODD_FORMS);
            env.write_entry(upstream, &config::odd_entry(&env.entry(upstream, "ready"), form));
            env.context.ledger.record_fault("odd-entry");
            self.ends.push((end_time(rng), End::Registration(upstream)));
        }
        if rng.u8(..ODDITY_EVERY) == 0 {
            let daemons = env.daemons.borrow();
            let daemon = &daemons[rng.usize(..daemons.len())];
            daemon.change_settings(|sound| oddities::settings(sound, rng))?;
            env.context.ledger.record_fault("odd-settings");
        }
        Ok(())
    }

    fn begin_changes(&mut self) -> Result<()> {
        let (env, rng) = (self.env, &mut self.change_rng);
        if rng.u8(..ODDITY_EVERY) == 0 {
            let upstream = rng.usize(..env.upstreams.len());
            let late = env.entry(upstream, if rng.bool() { "ready" } else { "draining" });
            env.register(upstream, if rng.bool() { "ready" } else { "draining" });
            env.write_entry(upstream, &late);
            env.write_entry(upstream, &late);
            env.context.ledger.record_fault("late-writes");
            self.ends.push((end_time(rng), End::Registration(upstream)));
        }
        if rng.u8(..ODDITY_EVERY) == 0 {
            env.move_store(rng.usize(..env.daemons.borrow().len()))?;
            env.context.ledger.record_fault("moved-store");
        }
        if rng.u8(..ODDITY_EVERY) == 0 {
            env.register_replacement();
            if rng.bool() {
                env.upstreams[REPLACED].0.set_mode(Mode::Leaving);
            }
            env.context.ledger.record_fault("replacement");
            self.ends.push((end_time(rng), End::Upstream(REPLACED)));
        }
        Ok(())
    }

    /// Pauses some daemons and cuts others off from the store, then publishes a configuration that they
    /// miss for longer than the time limit for applying it.
    fn begin_missed_config(&mut self) -> Result<()> {
        if self.missed_rng.u8(..MISSED_CONFIG_EVERY) != 0 {
            return Ok(());
        }
        let env = self.env;
        for daemon in 0..env.daemons.borrow().len() {
            let extra = Duration::from_millis(self.missed_rng.u64(MISSED_CONFIG_EXTRA_MS));
            let until = Instant::now() + probe::CONFIG_APPLY + extra;
            match self.missed_rng.u8(..3) {
                0 if self.is_up(daemon) => {
                    env.daemons.borrow()[daemon].signal(Signal::STOP)?;
                    env.context.ledger.record_fault("missed-config-pause");
                    self.ends.push((until, End::Pause(daemon)));
                }
                1 => {
                    env.store_links.borrow()[daemon].set_fault(proxy::Fault::Silence);
                    env.context.ledger.record_fault("missed-config-cut");
                    self.ends.push((until, End::Isolation(daemon)));
                }
                _ => {}
            }
        }
        env.publish();
        Ok(())
    }

    /// Whether a daemon runs and is not paused, stopping or killed.
    fn is_up(&self, daemon: usize) -> bool {
        !self.ends.iter().any(|(_, it)| match it {
            End::Pause(it) | End::Stop(it) | End::Kill(it) => *it == daemon,
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
        let env = self.env;
        match end {
            End::Store => env.store.set_fault(store::Fault::None),
            End::StoreLink => {
                env.store_links.borrow().iter().for_each(|it| it.set_fault(proxy::Fault::None));
            }
            End::Isolation(it) => env.store_links.borrow()[*it].set_fault(proxy::Fault::None),
            // It may have said that it leaves, so it starts again.
            End::Upstream(it) => {
                env.upstreams[*it].0.restart();
                env.register(*it, "ready");
            }
            End::AllUpstreams => env.upstreams.iter().for_each(|it| it.0.set_mode(Mode::Good)),
            End::UpstreamLink(it) => env.upstreams[*it].1.set_fault(proxy::Fault::None),
            End::Registration(it) => env.register(*it, "ready"),
            End::Pause(it) => env.resume(*it)?,
            End::Stop(it) => {
                let mut daemons = env.daemons.borrow_mut();
                if !daemons[*it].wait(STOP_TIMEOUT)? {
                    env.context.ledger.add_finding(format!(
                        "daemon {it} did not end within the time limit of a planned stop"
                    ));
                }
                daemons[*it].start()?;
            }
            End::Evacuation => env.take_back(),
            End::Kill(it) => {
                let mut daemons = env.daemons.borrow_mut();
                daemons[*it].wait(STOP_TIMEOUT)?;
                daemons[*it].start()?;
            }
        }
        Ok(())
    }
}

/// Time at which a fault that begins now ends.
fn end_time(rng: &mut fastrand::Rng) -> Instant {
    Instant::now() + Duration::from_millis(rng.u64(FAULT_DURATION_MS))
}
