//! Quotas of tenants, shared by all daemons.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::{Demand, TenantKey, Terms, account::Account, tenant_key};
use crate::{config::Tenant, load::HostKey};

/// Interval at which daemons send each other what their tenants use.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Time within which peers have learned of an admitted request, with one datagram lost. A daemon
/// admits no more than its share of what is left within this time.
const REPORT_DELAY: Duration = Duration::from_millis(500);
/// Mean time after which peers learn of an admitted request.
const MEAN_REPORT_DELAY_S: f64 = 0.3;
/// Time without a report after which a daemon does not count on knowing what a peer admits.
const MAX_SILENCE: Duration = Duration::from_secs(1);
/// Part of the slack that is used on purpose. The rest of it, and the overshoot, allow for requests
/// that daemons admit before they learn of each other's: 9 % of a quota were seen with 39 daemons.
const MARGIN_SHARE: f64 = 0.3;
/// Part of what is left of a quota that is divided equally; the rest is divided by recent requests.
/// Callers that move to another daemon find its equal part there.
const EQUAL_SHARE: f64 = 0.5;
/// Number of recent requests from which a daemon concludes that its peers have got as many.
const SIGNIFICANT_COUNT: f64 = 4.0;
/// Multiple of a tenant's rate up to which its requests are expected to rise all at once.
const SURGE: f64 = 1.0;
/// Time after the start within which a daemon may still find its peers.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);
/// Time after the start in which no peer may be known to be used by callers: a daemon finds out after
/// a second of requests, and then informs its peers.
const UNKNOWN_USE_TIME: Duration = Duration::from_millis(1_500);
/// Time after the start within which reports of peers have arrived: finding them took 0.3 s for 44
/// daemons that started at once.
const FIRST_REPORTS_TIME: Duration = Duration::from_millis(600);
/// Multiple of its rate above which a tenant counts as flooding. In the first window after a start of
/// the whole fleet it gets less than others, since it has probably used its quota before.
const FLOOD: f64 = 1.3;
/// Time between the reports of a peer from which it is known that it runs.
const MIN_CONTACT_TIME: Duration = Duration::from_millis(200);
/// Part of a group's budget that is used while the fleet is divided: the groups learn of it at
/// different times.
const GROUP_SHARE: f64 = 0.95;
/// Interval at which it is determined which peers are in contact.
const VIEW_INTERVAL: Duration = Duration::from_millis(50);
/// Part of what peers are expected to have admitted meanwhile that must be left for a daemon to use
/// its credit.
const CREDIT_MARGIN: f64 = 0.25;
/// Shortest `Retry-After`.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Longest `Retry-After`.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Member {
    heard_at: Instant,
    contact_since: Instant,
    started: Instant,
}

impl Member {
    /// Whether it has sent a report lately.
    fn has_reported(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard_at) < MAX_SILENCE
    }
}

/// Quotas of tenants, shared by all daemons.
///
/// Each daemon sends its peers how many requests it has admitted in the window. It admits a request if
/// all daemons together have admitted less than the budget, and if it has itself recently admitted
/// less than its share of what is left. The budget is reduced to the part of the fleet that this daemon
/// is in contact with, so that the budgets of groups cut off from each other add up to one.
#[derive(Debug)]
pub struct Quotas {
    terms: Terms,
    started_at: Instant,
    accounts: HashMap<TenantKey, Account>,
    members: HashMap<HostKey, Member>,
    live_peers: u32,
    active_peers: u32,
    presence: f64,
    serial: u32,
    view: View,
}

/// What is known of the peers at one time. Computed at most every [`VIEW_INTERVAL`], so that the cost of
/// a request does not grow with the fleet.
#[derive(Clone, Copy, Debug)]
struct View {
    at: Instant,
    /// Peers that have sent a report lately.
    heard: u32,
    horizon: Duration,
    presence: f64,
    maturity: f64,
}

impl Quotas {
    /// Creates the state of a daemon that starts at `now`.
    #[must_use]
    pub fn new(now: Instant, terms: Terms) -> Self {
        Self {
            terms,
            started_at: now,
            accounts: HashMap::new(),
            members: HashMap::new(),
            live_peers: 0,
            active_peers: 0,
            presence: 1.0,
            serial: 0,
            view: View { at: now, heard: 0, horizon: REPORT_DELAY, presence: 1.0, maturity: 0.0 },
        }
    }

    /// Sets the terms of all quotas.
    pub fn set_terms(&mut self, terms: Terms) {
        if terms.window != self.terms.window {
            self.accounts.values_mut().for_each(|it| it.set_window(terms.window));
        }
        self.terms = terms;
    }

    /// Sets the part of the known daemons that this one is in contact with, the number of live peers,
    /// and how many of these callers use.
    pub fn set_fleet(&mut self, now: Instant, presence: f64, live_peers: u32, active_peers: u32) {
        (self.presence, self.live_peers, self.active_peers) = (presence, live_peers, active_peers);
        let lifetime = self.lifetime();
        self.members.retain(|_, it| now.saturating_duration_since(it.heard_at) < lifetime);
        self.accounts.retain(|_, it| it.expire(now, lifetime, MAX_SILENCE));
        self.update_view(now);
    }

    /// Admits a request of a tenant within its quota.
    ///
    /// # Errors
    ///
    /// Returns the time after which a request is expected to be admitted.
    pub fn take(&mut self, now: Instant, tenant: &Tenant) -> Result<(), Duration> {
        if tenant.rate_per_s <= 0.0 {
            return Ok(());
        }
        let budget = self.budget(tenant);
        if now.saturating_duration_since(self.view.at) >= VIEW_INTERVAL {
            self.update_view(now);
        }
        let View { heard, horizon, presence, maturity, .. } = self.view;
        let presence = if presence < 1.0 { presence * GROUP_SHARE } else { 1.0 };
        let is_newcomer = self.members.is_empty() && self.active_peers > 0;
        let may_start = is_newcomer || self.knows_nobody(now);
        let members = f64::from(heard) + 1.0;
        let is_new = self.age(now) < self.lifetime();
        let window = self.terms.window;
        let account = self
            .accounts
            .entry(tenant_key(&tenant.id))
            .or_insert_with(|| Account::new(now, window));
        account.arrive(now);
        let is_flooding = account.fleet_rate(now) > FLOOD * tenant.rate_per_s;
        let budget = budget * if is_flooding { maturity.powi(4) } else { maturity };
        let spent = account.spent(now, is_new);
        // The second term holds if daemons that have fallen silent go on without this one.
        let left = (budget - spent).min(budget * presence - account.spent_in_contact(now));
        let left = if is_newcomer { 0.0 } else { left };
        if left < 1.0 {
            if may_start && account.recently_admitted(now, window) < 1.0 {
                account.admit(now);
                return Ok(());
            }
            let excess = (1.0 - left).ceil();
            let own = account.recently_admitted(now, window).max(1.0);
            // The daemons' requests leave the window at similar rates.
            let count = (excess * own / spent.max(own)).ceil();
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let wait = account.time_until(now, count as u32);
            return Err(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER));
        }
        let recent = account.recently_admitted(now, horizon);
        let share = EQUAL_SHARE / members + (1.0 - EQUAL_SHARE) * account.demand_share();
        // What peers may have admitted meanwhile: as much as they did before, and as much as this
        // daemon did, unless that is too little to conclude from.
        let certainty = (recent / SIGNIFICANT_COUNT).min(1.0);
        let surge = (recent * certainty * (members - 1.0))
            .min(SURGE * tenant.rate_per_s * MEAN_REPORT_DELAY_S);
        let is_urgent = horizon > REPORT_DELAY || is_flooding;
        let delay = if is_urgent { horizon.as_secs_f64() } else { MEAN_REPORT_DELAY_S };
        let unknown = account.peers_rate() * delay + surge;
        let is_ample = left >= 1.0 + unknown;
        account.set_credit_rate(share.max(1.0 / members) * budget / window.as_secs_f64());
        let has_credit = account.has_credit(now)
            && left >= 1.0 + CREDIT_MARGIN * account.peers_rate() * MEAN_REPORT_DELAY_S;
        if !is_ample && !has_credit && recent + 1.0 > share * (left + recent) {
            return Err(REPORT_INTERVAL);
        }
        account.admit(now);
        Ok(())
    }

    /// What is to be sent to peers now, with a number that grows.
    pub fn report(&mut self, now: Instant) -> (u32, Vec<Demand>) {
        self.serial += 1;
        let reports = self.accounts.iter_mut().filter_map(|(key, it)| it.report(now, *key));
        (self.serial, reports.collect())
    }

    /// Records what a peer has sent; `age` is the time since the peer started.
    pub fn record(
        &mut self,
        now: Instant,
        host: HostKey,
        age: Duration,
        serial: u32,
        demands: &[Demand],
    ) {
        let started = now.checked_sub(age.min(self.lifetime())).unwrap_or(now);
        let contact_since = self.members.get(&host).map_or(now, |it| it.contact_since);
        self.members.insert(host, Member { heard_at: now, contact_since, started });
        let window = self.terms.window;
        for it in demands {
            let account =
                self.accounts.entry(it.tenant).or_insert_with(|| Account::new(now, window));
            account.record(now, host, serial, *it);
        }
    }

    /// Time since this daemon started.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    /// Whether a live peer needs this daemon's reports: callers use it (`is_active`), it has sent
    /// reports lately, or no peer is known to be in use yet. After a start of the whole fleet all would
    /// otherwise spend without learning of each other.
    #[must_use]
    pub fn is_receiver(&self, now: Instant, host: HostKey, is_active: bool) -> bool {
        let member = self.members.get(&host);
        is_active
            || self.is_use_unknown(now, UNKNOWN_USE_TIME)
            || member.is_some_and(|it| it.has_reported(now))
    }

    /// Number of tenants with recent requests.
    #[must_use]
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }

    fn heard(&self, now: Instant) -> u32 {
        let count = self.members.values().filter(|it| it.has_reported(now)).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Time after which nothing that a peer has reported is in the window any more.
    fn lifetime(&self) -> Duration {
        self.terms.window + MAX_SILENCE
    }

    fn update_view(&mut self, now: Instant) {
        self.view = View {
            at: now,
            heard: self.heard(now),
            horizon: self.horizon(now),
            presence: self.presence(now),
            maturity: self.maturity(now),
        };
    }

    /// Whether the daemon has just started and knows no peer yet.
    fn knows_nobody(&self, now: Instant) -> bool {
        self.members.is_empty() && self.age(now) < DISCOVERY_TIME
    }

    /// Requests of a tenant that all daemons together may admit in a window.
    fn budget(&self, tenant: &Tenant) -> f64 {
        let Tenant { rate_per_s, burst, .. } = *tenant;
        let quota = self.terms.quota(rate_per_s, burst);
        quota + self.terms.slack * MARGIN_SHARE
    }

    /// Time within which peers may not have learned of a request. It begins with the oldest of the
    /// peers' last reports: while they are overdue, a daemon uses only its share.
    fn horizon(&self, now: Instant) -> Duration {
        let age = |it: &Member| now.saturating_duration_since(it.heard_at);
        let ages = self.members.values().map(age).filter(|it| *it < MAX_SILENCE);
        ages.fold(REPORT_DELAY, Duration::max)
    }

    /// Whether no peer is known to be used by callers, `time` after the start at most.
    fn is_use_unknown(&self, now: Instant, time: Duration) -> bool {
        self.active_peers == 0 && self.age(now) < time
    }

    /// Part of the fleet that this daemon knows the use of.
    fn presence(&self, now: Instant) -> f64 {
        // Until they can have reported, any live peers may be in use.
        let time = if self.members.is_empty() { UNKNOWN_USE_TIME } else { FIRST_REPORTS_TIME };
        let is_unknown = self.is_use_unknown(now, time);
        let used = if is_unknown { self.live_peers } else { self.active_peers };
        let heard = self.heard(now).min(used);
        self.presence * f64::from(heard + 1) / f64::from(used + 1)
    }

    /// Part of a budget that may be used in the first window after the start: what daemons that have
    /// restarted admitted before is not known any more.
    fn maturity(&self, now: Instant) -> f64 {
        let window = self.terms.window;
        let age = self.age(now);
        if age >= window {
            return 1.0;
        }
        // Older peers know what former incarnations have admitted.
        // A single report may have been on its way since before a restart of the whole fleet.
        let is_old = |it: &Member| {
            now.saturating_duration_since(it.started) >= window
                && it.heard_at.saturating_duration_since(it.contact_since) >= MIN_CONTACT_TIME
        };
        if self.members.values().any(is_old) {
            return 1.0;
        }
        age.as_secs_f64() / window.as_secs_f64()
    }
}
