//! Injects overlapping faults and checks that the daemons recover from them.

use std::{
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use platform_standin::{
    Proxy, Upstream, config, proxy, store,
    upstream::{Endless, Mode},
};
use rustix::process::Signal;

use crate::{
    Result,
    environment::{Environment, UPSTREAMS_IN_B},
    oddities, probe, watcher,
};

/// Time from the start of one fault to the start of the next, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 100..500;
/// Duration of a fault, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..2_500;
/// Time within which a daemon must exit after `SIGTERM`.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);
/// Time after the last fault after which no effects of faults may remain.
const RECOVERY_TIME: Duration = Duration::from_secs(8);
/// Time within which every daemon must apply a new configuration or an upstream's change of state.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(4);

/// Time by which every daemon has heard that an upstream leaves or pauses.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause that an upstream asks for.
const PAUSE: Duration = Duration::from_secs(4);
/// Requests that a daemon may send to an upstream during its pause.
const PAUSED_REQUESTS: usize = 2;

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
/// One in this many faults is accompanied by the entry of another writer, and by odd settings.
const ODDITY_EVERY: u8 = 5;
/// Time within which every daemon must apply an evacuation.
const EVACUATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which an evacuated domain must get nothing.
const EVACUATION_TIME: Duration = Duration::from_secs(2);

/// Maximum resident memory of a daemon, in bytes. Default of its settings.
const MEMORY_LIMIT_BYTES: u64 = 512 << 20;

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
    ends: Vec<(Instant, End)>,
}

impl<'a> Faults<'a> {
    pub(crate) fn new(env: &'a Environment, seed: u64) -> Self {
        let oddity_seed = seed.rotate_left(16);
        let seeds = [seed, !seed, seed.rotate_left(32), !seed.rotate_left(32), oddity_seed];
        let [rng, evacuation_rng, denial_rng, missed_rng, oddity_rng] =
            seeds.map(fastrand::Rng::with_seed);
        Self { env, rng, evacuation_rng, denial_rng, missed_rng, oddity_rng, ends: Vec::new() }
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
                env.store_links.iter().for_each(|it| it.set_fault(link_fault));
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
            let duration = Duration::from_millis(self.rng.u64(FAULT_DURATION_MS));
            self.ends.push((Instant::now() + duration, it));
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
        let duration = Duration::from_millis(self.evacuation_rng.u64(FAULT_DURATION_MS));
        self.ends.push((Instant::now() + duration, End::Evacuation));
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
        let duration = Duration::from_millis(rng.u64(FAULT_DURATION_MS));
        self.ends.push((Instant::now() + duration, End::Upstream(upstream)));
    }

    fn begin_oddities(&mut self) -> Result<()> {
        let (env, rng) = (self.env, &mut self.oddity_rng);
        if rng.u8(..ODDITY_EVERY) == 0 {
            let upstream = rng.usize(..env.upstreams.len());
            let form = rng.u8(..config::ODD_FORMS);
            env.write_entry(upstream, &config::odd_entry(&env.entry(upstream, "ready"), form));
            env.context.ledger.record_fault("odd-entry");
            let duration = Duration::from_millis(rng.u64(FAULT_DURATION_MS));
            self.ends.push((Instant::now() + duration, End::Registration(upstream)));
        }
        if rng.u8(..ODDITY_EVERY) == 0 {
            let daemons = env.daemons.borrow();
            let daemon = &daemons[rng.usize(..daemons.len())];
            daemon.change_settings(|sound| oddities::settings(sound, rng))?;
            env.context.ledger.record_fault("odd-settings");
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
        for daemon in 0..env.store_links.len() {
            let extra = Duration::from_millis(self.missed_rng.u64(MISSED_CONFIG_EXTRA_MS));
            let until = Instant::now() + probe::CONFIG_APPLY + extra;
            match self.missed_rng.u8(..3) {
                0 if self.is_up(daemon) => {
                    env.daemons.borrow()[daemon].signal(Signal::STOP)?;
                    env.context.ledger.record_fault("missed-config-pause");
                    self.ends.push((until, End::Pause(daemon)));
                }
                1 => {
                    env.store_links[daemon].set_fault(proxy::Fault::Silence);
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
                env.store_links.iter().for_each(|it| it.set_fault(proxy::Fault::None));
            }
            End::Isolation(it) => env.store_links[*it].set_fault(proxy::Fault::None),
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

    /// Checks that no daemon's resident memory has exceeded the limit in its settings.
    fn check_memory(&self) {
        for (number, it) in self.env.daemons.borrow().iter().enumerate() {
            let peak = it.peak_bytes().unwrap_or_default();
            if peak > MEMORY_LIMIT_BYTES {
                self.env.context.ledger.add_finding(format!("daemon {number} held {peak} bytes"));
            }
        }
    }

    /// Checks that upstreams that say in their answers that they leave or pause are left alone.
    fn check_withdrawals(&self) {
        let env = self.env;
        // While every upstream withdraws, callers are refused.
        env.context.is_fault_free.store(false, Ordering::Relaxed);
        let (leaving, pausing) = env.upstreams.split_at(1);
        let arrivals = |upstreams: &[(Upstream, Proxy)]| -> usize {
            upstreams.iter().map(|it| it.0.arrivals().len()).sum()
        };
        for (it, _) in leaving {
            it.set_mode(Mode::Leaving);
        }
        thread::sleep(WITHDRAWAL_TIMEOUT);
        for (it, _) in pausing {
            it.set_mode(Mode::Pause(PAUSE));
        }
        thread::sleep(WITHDRAWAL_TIMEOUT);
        let (at_leaving, at_pausing) = (arrivals(leaving), arrivals(pausing));
        thread::sleep(PAUSE / 2);
        if arrivals(leaving) > at_leaving {
            let finding = "an upstream that said that it leaves got new requests";
            env.context.ledger.add_finding(finding.to_owned());
        }
        let sent = arrivals(pausing) - at_pausing;
        if sent > PAUSED_REQUESTS * env.daemons.borrow().len() * pausing.len() {
            let finding = format!("upstreams that asked for a pause got {sent} requests");
            env.context.ledger.add_finding(finding);
        }
        for (number, (upstream, _)) in env.upstreams.iter().enumerate() {
            upstream.restart();
            env.register(number, "ready");
        }
        thread::sleep(PROPAGATION_TIMEOUT);
        env.context.is_fault_free.store(true, Ordering::Relaxed);
    }

    /// Checks that an evacuated failure domain gets neither requests nor health checks once the time
    /// limit has passed, and that it is used again once it is taken back.
    fn check_evacuation(&self) {
        let env = self.env;
        let received = || -> usize {
            let upstreams = env.upstreams[UPSTREAMS_IN_B].iter();
            upstreams.map(|(it, _)| it.arrivals().len() + it.probes()).sum()
        };
        env.evacuate();
        thread::sleep(EVACUATION_TIMEOUT);
        let before = received();
        thread::sleep(EVACUATION_TIME);
        let sent = received() - before;
        if sent > 0 {
            let finding = format!("an evacuated failure domain got {sent} requests");
            env.context.ledger.add_finding(finding);
        }
        env.take_back();
        let before = received();
        thread::sleep(EVACUATION_TIMEOUT);
        if received() == before {
            let finding = "a failure domain that was taken back got no requests";
            env.context.ledger.add_finding(finding.to_owned());
        }
    }

    /// Makes an upstream leave, and checks that an earlier write of it that the store executes late does
    /// not bring it back.
    fn check_late_write(&self) {
        let env = self.env;
        let late = env.entry(0, "ready");
        env.register(0, "ready");
        env.register(0, "draining");
        thread::sleep(PROPAGATION_TIMEOUT);
        let before = env.upstreams[0].0.runs();
        env.write_entry(0, &late);
        thread::sleep(PROPAGATION_TIMEOUT);
        if env.upstreams[0].0.runs() != before {
            let finding = "a late write made a leaving upstream ready again";
            env.context.ledger.add_finding(finding.to_owned());
        }
        env.register(0, "draining");
    }

    /// Checks that the daemons recover, that they apply a new configuration and an upstream's
    /// change of state in time, and that planned stops break no request in flight.
    pub(crate) fn check_recovery(&mut self) -> Result<()> {
        let env = self.env;
        let ledger = &env.context.ledger;
        if !env.wait_ready() {
            ledger.add_finding("not every daemon became ready again".to_owned());
        }
        thread::sleep(RECOVERY_TIME);
        env.context.is_fault_free.store(true, Ordering::Relaxed);
        env.publish();
        thread::sleep(PROPAGATION_TIMEOUT);
        for (number, it) in env.daemons.borrow().iter().enumerate() {
            let path = env.newest_path();
            if !watcher::serves(it.caller_address, &path, "GET-check", PROPAGATION_TIMEOUT)
                .unwrap_or(false)
            {
                ledger.add_finding(format!(
                    "daemon {number} does not serve the newest configuration"
                ));
            }
        }
        oddities::check_directory(env);
        self.check_memory();
        self.check_withdrawals();
        self.check_evacuation();
        self.check_late_write();
        let before = env.upstreams[0].0.runs();
        let count = env.daemons.borrow().len();
        for number in 0..count {
            let mut daemons = env.daemons.borrow_mut();
            daemons[number].signal(Signal::TERM)?;
            if !daemons[number].wait(STOP_TIMEOUT)? {
                ledger.add_finding(format!(
                    "daemon {number} did not end within the time limit of a planned stop"
                ));
            }
            // The simulated callers don't query the directory, so their connections may be refused
            // until the daemon runs again.
            env.context.is_fault_free.store(false, Ordering::Relaxed);
            daemons[number].start()?;
            drop(daemons);
            if !env.wait_ready() {
                ledger.add_finding(format!(
                    "daemon {number} did not become ready after a planned stop"
                ));
            }
            env.context.is_fault_free.store(true, Ordering::Relaxed);
        }
        if env.upstreams[0].0.runs() != before {
            ledger.add_finding("a leaving upstream got new requests".to_owned());
        }
        if env.context.fault_free_requests.load(Ordering::Relaxed) == 0 {
            ledger.add_finding("no request was sent in the calm time".to_owned());
        }
        Ok(())
    }
}
