//! Requests that wait until an upstream has free capacity, and which of them are refused when there
//! is too little of it. The reasons are given in `docs/design/overload.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::RangeBounds,
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    Overload, Reason, Refused, Waiter, accounts::Accounts, decayed::Decayed, drain::Drain,
    first_attempts::FirstAttempts, position::Position,
};

/// Time over which arriving work loses its weight.
const DEMAND_PERIOD: Duration = Duration::from_secs(1);
/// Lowest rate assumed, in slots.
const MIN_RATE: f64 = 0.05;
/// Share of the slots that is assumed to be left for requests behind others.
const MIN_RATE_SHARE: f64 = 0.1;
/// Time after the last refusal from which all callers count as making their first attempt.
const CALM_AFTER: Duration = Duration::from_secs(3);
/// Ratio of two requests' work up to which they count as equally costly.
const COST_CLASS_RATIO: f64 = 1.5;

/// Waiting requests, the one to serve next first.
///
/// While the expected wait is short, they are ordered by priority, then those that can still meet
/// their target before late ones, then the newest before older ones. While it is long, requests
/// that are owed service go first (see [`Overload::floor`]), and those of one priority are ordered
/// by the tenant's use of its share, by their work, and by the time at which they become late.
#[derive(Debug)]
pub struct Queue {
    settings: Overload,
    rng: fastrand::Rng,
    waiters: BTreeMap<u64, Waiter>,
    serial: u64,
    /// Latest time passed in.
    now: Option<Instant>,
    /// When the first request arrived; origin of the times in positions.
    epoch: Option<Instant>,
    slots: Option<f64>,
    drain: Drain,
    /// Arriving work by priority and cost class.
    demands_s: BTreeMap<(u8, i32), Decayed>,
    routes: Option<Accounts>,
    tenants: Option<Accounts>,
    first_attempts: FirstAttempts,
    /// When a request was last refused.
    refused_at: Option<Instant>,
}

impl Default for Queue {
    fn default() -> Self {
        Self::new(Overload::default(), 0)
    }
}

impl Queue {
    /// Creates an empty queue. `seed` determines how the times to retry are spread.
    #[must_use]
    pub fn new(settings: Overload, seed: u64) -> Self {
        Self {
            settings,
            rng: fastrand::Rng::with_seed(seed),
            waiters: BTreeMap::new(),
            serial: 0,
            now: None,
            epoch: None,
            slots: None,
            drain: Drain::default(),
            demands_s: BTreeMap::new(),
            routes: None,
            tenants: None,
            first_attempts: FirstAttempts::default(),
            refused_at: None,
        }
    }

    /// Sets the number of upstream slots that this daemon may expect for itself. While it is not
    /// known, no wait counts as long.
    pub fn set_slots(&mut self, slots: f64) {
        self.slots = Some(slots.max(0.5));
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Number of requests of a priority as urgent as `priority` or more.
    #[must_use]
    pub fn ahead(&self, priority: u8) -> usize {
        self.waiters.values().filter(|it| it.priority <= priority).count()
    }

    /// Records that a request was sent without waiting.
    pub fn record_sent(&mut self, now: Instant, waiter: &Waiter) {
        self.arrive(now, waiter);
        self.settle(now, waiter, true);
    }

    /// Adds a request if it can probably be served in time.
    ///
    /// # Errors
    ///
    /// Refuses it if it should not wait.
    pub fn offer(&mut self, now: Instant, mut waiter: Waiter) -> Result<u64, Refused> {
        self.arrive(now, &waiter);
        let first = self.first_attempts.at(&waiter.route, waiter.received, waiter.time_limit);
        let earlier = waiter.received.saturating_duration_since(first);
        waiter.target = waiter.target.checked_sub(earlier).unwrap_or(waiter.target);
        let wait = self.expected_wait(now, &waiter);
        if self.accepts(now, &waiter, wait) {
            return Ok(self.push(waiter));
        }
        self.settle(now, &waiter, false);
        let retry_after = self.retry_after(now, &waiter, wait);
        Err(Refused { serial: 0, reason: Reason::Overload, retry_after })
    }

    /// Adds a request unconditionally; returns the serial by which it can be removed.
    pub fn push(&mut self, waiter: Waiter) -> u64 {
        self.advance(waiter.since);
        if self.waiters.is_empty() {
            self.drain.advance(waiter.since, true);
        }
        self.serial += 1;
        self.waiters.insert(self.serial, waiter);
        self.serial
    }

    /// Removes a request that is given a slot.
    pub fn grant(&mut self, now: Instant, serial: u64) -> Option<Waiter> {
        self.advance(now);
        let res = self.waiters.remove(&serial)?;
        self.drain.advance(now, true);
        self.drain.record(res.work);
        self.drain.advance(now, !self.waiters.is_empty());
        self.settle(now, &res, true);
        Some(res)
    }

    /// Removes a request that no longer waits, for instance because its caller has left.
    pub fn remove(&mut self, serial: u64) -> Option<Waiter> {
        let res = self.waiters.remove(&serial)?;
        if let Some(now) = self.now {
            self.drain.advance(now, !self.waiters.is_empty());
        }
        Some(res)
    }

    /// The requests in the order in which they are served.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &Waiter)> {
        self.order()
            .into_iter()
            .filter_map(|(_, serial)| Some((serial, self.waiters.get(&serial)?)))
    }

    /// Removes requests that should no longer wait: those that can't be answered in time, and those
    /// that would be late behind requests of more value, as long as a refusal costs them nothing.
    pub fn tick(&mut self, now: Instant) -> Vec<Refused> {
        self.advance(now);
        let is_overload = self.is_overload(now);
        let long = self.long_priorities(now);
        let mut refused = Vec::new();
        let mut ahead = Duration::ZERO;
        for (position, serial) in self.order() {
            let Some(it) = self.waiters.get(&serial) else { continue };
            let is_long = long.contains(&position.priority);
            let wait = self.wait_behind(now, ahead, is_long.then_some((&position, it)));
            let is_hopeless =
                is_overload && is_long && position.is_not_owed && wait > it.slack(now);
            let held = now.saturating_duration_since(it.since);
            let reason = if !it.is_viable(now) || is_hopeless && position.is_late {
                Reason::Expired
            } else if is_hopeless && held < it.target_latency.mul_f64(self.settings.free_hold_share)
            {
                Reason::Displaced
            } else {
                ahead += it.work;
                continue;
            };
            refused.push((serial, reason, wait));
        }
        refused.into_iter().filter_map(|it| self.refuse(now, it)).collect()
    }

    fn refuse(&mut self, now: Instant, refused: (u64, Reason, Duration)) -> Option<Refused> {
        let (serial, reason, wait) = refused;
        let waiter = self.remove(serial)?;
        self.settle(now, &waiter, false);
        let retry_after = self.retry_after(now, &waiter, wait);
        Some(Refused { serial, reason, retry_after })
    }

    /// Whether a new request should wait.
    fn accepts(&self, now: Instant, waiter: &Waiter, wait: Duration) -> bool {
        if !waiter.is_viable(now) {
            return false;
        }
        let may_wait = wait <= waiter.time_left(now).mul_f64(self.settings.max_wait_share);
        let is_long = self.is_long(now, waiter);
        let margin = if self.is_overload(now) { self.settings.wait_margin } else { 1.0 };
        let is_late = wait.mul_f64(margin) > waiter.slack(now);
        may_wait && (!is_long || !is_late || self.is_owed(now, waiter))
    }

    /// Expected wait of a new request.
    fn expected_wait(&self, now: Instant, waiter: &Waiter) -> Duration {
        let is_long = self.is_long(now, waiter);
        let position = self.position(now, self.serial + 1, waiter, is_long);
        let long = self.long_priorities(now);
        let is_ahead = |(serial, it): &(&u64, &Waiter)| {
            let is_long = is_long || long.contains(&it.priority);
            // Without a long wait, all requests of the priority count: more of them will arrive.
            let other = self.position(now, **serial, it, is_long);
            other < position || !is_long && it.priority <= waiter.priority
        };
        let ahead: Duration = self.waiters.iter().filter(is_ahead).map(|(_, it)| it.work).sum();
        // Behind no other request, it still waits for a slot, on average half of a request's time.
        let ahead = if is_long { ahead + waiter.work / 2 } else { ahead };
        self.wait_behind(now, ahead, is_long.then_some((&position, waiter)))
    }

    /// Expected wait behind work that is ahead in the queue. With `position`, the work that will
    /// probably arrive and go ahead of that position counts as well.
    fn wait_behind(
        &self,
        now: Instant,
        ahead: Duration,
        position: Option<(&Position, &Waiter)>,
    ) -> Duration {
        let Some(slots) = self.slots else { return Duration::ZERO };
        let rate = self.drain.rate(slots).max(MIN_RATE);
        let preceding =
            position.map_or(0.0, |(position, it)| self.demand_before(now, position, it));
        ahead.div_f64((rate - preceding).max(rate * MIN_RATE_SHARE))
    }

    /// Work per second that arrives and goes ahead of a position.
    fn demand_before(&self, now: Instant, position: &Position, waiter: &Waiter) -> f64 {
        if !position.is_not_owed {
            return 0.0;
        }
        let class = (position.priority, position.cost_class);
        if !position.is_over_share {
            return self.demand(now, ..class);
        }
        let own = waiter.tenant.as_ref().zip(self.tenants.as_ref());
        let own = own.map_or(0.0, |(tenant, accounts)| accounts.demand(now, tenant));
        self.demand(now, ..=(position.priority, i32::MAX)) - own
    }

    /// Work per second that arrives in a range of classes.
    fn demand(&self, now: Instant, classes: impl RangeBounds<(u8, i32)>) -> f64 {
        let sum: f64 =
            self.demands_s.range(classes).map(|(_, it)| it.get(now, DEMAND_PERIOD)).sum();
        sum / DEMAND_PERIOD.as_secs_f64()
    }

    /// Whether more work arrives than is given slots.
    fn is_overload(&self, now: Instant) -> bool {
        self.slots.is_some_and(|it| self.demand(now, ..) > self.drain.rate(it))
    }

    /// Whether requests of the waiter's priority, the waiter among them, wait for long.
    fn is_long(&self, now: Instant, waiter: &Waiter) -> bool {
        let queued = self.waiters.values().filter(|it| it.priority <= waiter.priority);
        let work = queued.filter(|it| !it.is_late(now)).map(|it| it.work).sum();
        self.wait_behind(now, work, None) > self.long_wait(waiter)
    }

    /// Expected wait that counts as long.
    fn long_wait(&self, waiter: &Waiter) -> Duration {
        waiter.target_latency.mul_f64(self.settings.long_wait_share)
    }

    /// The priorities whose requests wait for long.
    fn long_priorities(&self, now: Instant) -> BTreeSet<u8> {
        if self.slots.is_none() {
            return BTreeSet::new();
        }
        let mut works: BTreeMap<u8, (Duration, Duration)> = BTreeMap::new();
        for it in self.waiters.values().filter(|it| !it.is_late(now)) {
            let entry = works.entry(it.priority).or_insert((Duration::ZERO, Duration::MAX));
            entry.0 += it.work;
            entry.1 = entry.1.min(self.long_wait(it));
        }
        let mut ahead = Duration::ZERO;
        let mut res = BTreeSet::new();
        for (priority, (work, long_wait)) in works {
            ahead += work;
            if self.wait_behind(now, ahead, None) > long_wait {
                res.insert(priority);
            }
        }
        res
    }

    fn order(&self) -> Vec<(Position, u64)> {
        let Some(now) = self.now else { return Vec::new() };
        let long = self.long_priorities(now);
        let position = |(serial, it): (&u64, &Waiter)| {
            (self.position(now, *serial, it, long.contains(&it.priority)), *serial)
        };
        let mut res: Vec<_> = self.waiters.iter().map(position).collect();
        res.sort_unstable();
        res
    }

    fn position(&self, now: Instant, serial: u64, waiter: &Waiter, is_long: bool) -> Position {
        let is_late = waiter.is_late(now);
        let priority = waiter.priority;
        if !is_long {
            let order = -i64::try_from(serial).unwrap_or(i64::MAX);
            let (is_over_share, cost_class) = (false, 0);
            return Position {
                is_not_owed: true,
                priority,
                is_late,
                is_over_share,
                cost_class,
                order,
                serial,
            };
        }
        let until_target =
            self.epoch.map_or(Duration::ZERO, |it| waiter.target.saturating_duration_since(it));
        let since_epoch = until_target.saturating_sub(waiter.service_time);
        let order = i64::try_from(since_epoch.as_micros()).unwrap_or(i64::MAX);
        Position {
            is_not_owed: !self.is_owed(now, waiter),
            priority,
            is_late,
            is_over_share: self.is_over_share(now, waiter),
            cost_class: cost_class(waiter.work),
            // Once late, the newest has the most time left.
            order: if is_late { -order } else { order },
            serial,
        }
    }

    /// Whether the route or the tenant has been served too rarely.
    fn is_owed(&self, now: Instant, waiter: &Waiter) -> bool {
        let floor = self.settings.floor;
        let is_starved = |accounts: &Option<Accounts>, name: &Arc<str>| {
            accounts.as_ref().is_some_and(|it| it.is_starved(now, name, floor))
        };
        is_starved(&self.routes, &waiter.route)
            || waiter.tenant.as_ref().is_some_and(|it| is_starved(&self.tenants, it))
    }

    fn is_over_share(&self, now: Instant, waiter: &Waiter) -> bool {
        let Some((tenant, accounts)) = waiter.tenant.as_ref().zip(self.tenants.as_ref()) else {
            return false;
        };
        accounts.is_over_share(now, tenant, self.settings.tenant_tolerance)
    }

    /// When the caller of a refused request should come back: spread over the time in which it can
    /// still be answered within its target, or else over what callers honour.
    fn retry_after(&mut self, now: Instant, waiter: &Waiter, wait: Duration) -> Duration {
        let Overload { min_retry_after: min, max_retry_after: max, .. } = self.settings;
        let slack = waiter.slack(now);
        let time_left = waiter.deadline.saturating_duration_since(now);
        let honoured = time_left.mul_f64(self.settings.retry_share).min(max);
        let in_time = slack.mul_f64(self.settings.in_time_retry_share);
        let latest = if in_time >= min { honoured.min(in_time) } else { honoured };
        // At least half of the time serves to spread the callers.
        let earliest = wait.saturating_sub(slack).clamp(min.min(latest / 2), latest / 2);
        earliest + latest.saturating_sub(earliest).mul_f64(self.rng.f64())
    }

    fn arrive(&mut self, now: Instant, waiter: &Waiter) {
        self.advance(now);
        let class = (waiter.priority, cost_class(waiter.work));
        let demand = self.demands_s.entry(class).or_insert_with(|| Decayed::new(now));
        demand.add(now, DEMAND_PERIOD, waiter.work.as_secs_f64());
        let is_calm =
            self.refused_at.is_none_or(|it| now.saturating_duration_since(it) > CALM_AFTER);
        if is_calm {
            self.first_attempts.record(&waiter.route, waiter.time_limit);
        }
        let is_usual = is_calm && !self.is_long(now, waiter);
        if let Some(tenant) = &waiter.tenant {
            let accounts = self.tenants.get_or_insert_with(|| Accounts::new(now));
            accounts.arrive(now, tenant, waiter.work, is_usual);
        }
    }

    fn settle(&mut self, now: Instant, waiter: &Waiter, is_served: bool) {
        if !is_served {
            self.refused_at = Some(now);
        }
        let routes = self.routes.get_or_insert_with(|| Accounts::new(now));
        routes.settle(now, &waiter.route, is_served, waiter.work);
        if let Some(tenant) = &waiter.tenant {
            let tenants = self.tenants.get_or_insert_with(|| Accounts::new(now));
            tenants.settle(now, tenant, is_served, waiter.work);
        }
    }

    fn advance(&mut self, now: Instant) {
        self.epoch.get_or_insert(now);
        self.now = Some(self.now.map_or(now, |it| it.max(now)));
    }
}

/// Requests of one class need about the same work.
fn cost_class(work: Duration) -> i32 {
    #[expect(clippy::cast_possible_truncation, reason = "a logarithm of a duration is small")]
    let class = (work.as_secs_f64().max(1e-4).ln() / COST_CLASS_RATIO.ln()).round() as i32;
    class
}
