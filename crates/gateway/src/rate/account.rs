//! Use of one tenant's quota as known to one daemon.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::{Bucket, Demand, TenantKey, Window};
use crate::load::HostKey;

/// Width of the steps in which requests are counted.
const STEP: Duration = Duration::from_millis(100);
/// Period over which the request rate is measured.
const RATE_PERIOD: Duration = Duration::from_secs(1);

/// What a peer has reported.
#[derive(Clone, Copy, Debug)]
struct Reported {
    at: Instant,
    serial: u32,
    spent: u32,
    silent: u32,
    /// The last two rates. The larger counts, so that shares don't add up to more than 1 while a
    /// smaller one is on its way to some of the daemons.
    rates: [u32; 2],
}

impl Reported {
    fn rate(&self) -> u64 {
        u64::from(self.rates[0].max(self.rates[1]))
    }
}

/// Use of one tenant's quota as known to one daemon.
#[derive(Clone, Debug)]
pub(super) struct Account {
    admitted: Window,
    arrived: Window,
    /// The last two rates sent to peers. The smaller counts.
    sent_rates: [u32; 2],
    peers: HashMap<HostKey, Reported>,
    peers_spent: u64,
    /// Part of `peers_spent` from peers that have reported lately.
    heard_spent: u64,
    /// The most that a peer has said about silent daemons.
    reported_silent: u64,
    peers_rate: u64,
    credit: Bucket,
    used_at: Instant,
}

impl Account {
    pub(super) fn new(now: Instant, window: Duration) -> Self {
        Self {
            admitted: Window::new(window, STEP),
            arrived: Window::new(RATE_PERIOD, STEP),
            sent_rates: [0; 2],
            peers: HashMap::new(),
            peers_spent: 0,
            heard_spent: 0,
            reported_silent: 0,
            peers_rate: 0,
            credit: Bucket::new(now, 1.0),
            used_at: now,
        }
    }

    pub(super) fn set_window(&mut self, window: Duration) {
        self.admitted.set_length(window);
    }

    /// Counts a request that has arrived.
    pub(super) fn arrive(&mut self, now: Instant) {
        self.used_at = now;
        self.arrived.add(now);
    }

    /// Counts an admitted request.
    pub(super) fn admit(&mut self, now: Instant) {
        self.admitted.add(now);
        self.credit.take(now);
    }

    /// Requests admitted in the window, by this daemon and by its peers as far as they have said.
    ///
    /// What peers say about silent daemons is usually known here as well. A daemon that `is_new` has
    /// not heard from them itself.
    pub(super) fn spent(&mut self, now: Instant, is_new: bool) -> f64 {
        let silent = if is_new {
            self.silent() + self.reported_silent
        } else {
            self.silent().max(self.reported_silent)
        };
        f64::from(self.admitted.total(now)) + (self.heard_spent + silent) as f64
    }

    /// Requests that peers had admitted before they fell silent.
    fn silent(&self) -> u64 {
        self.peers_spent.saturating_sub(self.heard_spent)
    }

    /// Lets this daemon's own credit grow by `rate` requests per second, up to one.
    pub(super) fn set_credit_rate(&mut self, rate: f64) {
        self.credit.set_rate(rate);
    }

    /// Whether there is credit for a request.
    pub(super) fn has_credit(&self, now: Instant) -> bool {
        self.credit.available(now) >= 1.0
    }

    /// Like [`Self::spent`], without peers that have not reported lately.
    pub(super) fn spent_in_contact(&mut self, now: Instant) -> f64 {
        f64::from(self.admitted.total(now)) + self.heard_spent as f64
    }

    /// Requests that this daemon has admitted within `time`.
    pub(super) fn recently_admitted(&self, now: Instant, time: Duration) -> f64 {
        f64::from(self.admitted.recent(now, time))
    }

    /// Requests per second of all daemons.
    pub(super) fn fleet_rate(&mut self, now: Instant) -> f64 {
        f64::from(self.arrived.total(now)) + self.peers_rate as f64
    }

    /// Requests per second of all peers.
    pub(super) fn peers_rate(&self) -> f64 {
        self.peers_rate as f64
    }

    /// This daemon's part of the requests of all daemons.
    pub(super) fn demand_share(&self) -> f64 {
        let own = f64::from(self.sent_rates[0].min(self.sent_rates[1]));
        let all = own + self.peers_rate as f64;
        if all > 0.0 { own / all } else { 0.0 }
    }

    /// Time until `count` of this daemon's own requests have left the window.
    pub(super) fn time_until(&self, now: Instant, count: u32) -> Duration {
        self.admitted.time_until(now, count)
    }

    /// What is to be sent to peers, if there is anything.
    pub(super) fn report(&mut self, now: Instant, tenant: TenantKey) -> Option<Demand> {
        let res = Demand {
            tenant,
            spent: self.admitted.total(now),
            silent: u32::try_from(self.silent()).unwrap_or(u32::MAX),
            rate: self.arrived.total(now),
        };
        let is_idle =
            res.spent == 0 && res.rate == 0 && res.silent == 0 && self.sent_rates == [0; 2];
        self.sent_rates = [res.rate, self.sent_rates[0]];
        (!is_idle).then_some(res)
    }

    /// Records what a peer has sent, unless something later was received.
    pub(super) fn record(&mut self, now: Instant, host: HostKey, serial: u32, it: Demand) {
        let old = self.peers.get(&host).copied();
        if old.is_some_and(|old| old.serial >= serial) {
            return;
        }
        let last_rate = old.map_or(0, |old| old.rates[0]);
        let new = Reported {
            at: now,
            serial,
            spent: it.spent,
            silent: it.silent,
            rates: [it.rate, last_rate],
        };
        if let Some(old) = old {
            self.peers_spent -= u64::from(old.spent);
            self.peers_rate -= old.rate();
        }
        // Corrected at the next call of `expire` if the peer was silent before.
        let old_spent = old.map_or(0, |it| u64::from(it.spent));
        self.heard_spent = self.heard_spent.saturating_sub(old_spent) + u64::from(new.spent);
        self.reported_silent = self.reported_silent.max(u64::from(new.silent));
        self.peers_spent += u64::from(new.spent);
        self.peers_rate += new.rate();
        self.peers.insert(host, new);
    }

    /// Drops what peers have reported longer than `lifetime` ago; those that have reported nothing for
    /// `silence` are not in contact. Returns whether the account is
    /// still of use.
    pub(super) fn expire(&mut self, now: Instant, lifetime: Duration, silence: Duration) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.peers.retain(|_, it| age(it.at) < lifetime);
        self.peers_spent = self.peers.values().map(|it| u64::from(it.spent)).sum();
        let heard = self.peers.values().filter(|it| age(it.at) < silence);
        self.heard_spent = heard.map(|it| u64::from(it.spent)).sum();
        let silent = self.peers.values().map(|it| u64::from(it.silent));
        self.reported_silent = silent.max().unwrap_or(0);
        self.peers_rate = self.peers.values().map(Reported::rate).sum();
        !self.peers.is_empty() || age(self.used_at) < lifetime || self.sent_rates != [0; 2]
    }
}
