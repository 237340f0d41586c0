//! Evacuation of failure domains: the state in force and its effect on the services.

use std::{
    borrow::Cow,
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant, SystemTime},
};

use xxhash_rust::xxh3::xxh3_64;

use super::Gateway;
use crate::{
    metrics,
    platform::{Era, Offset},
    registry::{Domain, EvacuationRecord, Evacuations, MAX_DOMAINS, Progress, REWRITE_TIME, Stamp},
};

/// Time after which a change is broadcast a second time, since datagrams may be lost.
const REPEAT_TIME: Duration = Duration::from_millis(200);
/// Maximum number of findings remembered so that none is logged twice.
const MAX_FINDINGS: usize = 256;

/// Evacuations as known to a daemon.
#[derive(Debug, Default)]
pub(super) struct State {
    evacuations: RefCell<Evacuations>,
    /// When this daemon learned that a domain is evacuated.
    since: RefCell<BTreeMap<Domain, Instant>>,
    /// When the last change that this daemon has read from the store is broadcast again.
    repeat_at: Cell<Option<Instant>>,
    /// Until when the domains that were evacuated before the store's era stay evacuated.
    held_until: Cell<Option<Instant>>,
    /// Hashes of the findings logged so far.
    findings: RefCell<HashSet<u64>>,
}

impl Gateway {
    /// The evacuated domains and the stamp up to which they are known.
    #[must_use]
    pub fn evacuations(&self) -> Evacuations {
        self.evacuation.evacuations.borrow().clone()
    }

    /// Stamp up to which the evacuated domains are known.
    #[must_use]
    pub fn evacuation_stamp(&self) -> Stamp {
        self.evacuation.evacuations.borrow().stamp()
    }

    /// Whether a failure domain is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, domain: &str) -> bool {
        let evacuations = self.evacuation.evacuations.borrow();
        evacuations.domains.contains(domain) || evacuations.held.contains(domain)
    }

    /// Begins an era of the store if it is later than the known one; returns whether it is.
    pub fn begin_evacuation_era(self: &Rc<Self>, era: Era) -> bool {
        self.update_evacuations("store", |it| it.begin_era(era))
    }

    /// Ends the evacuations from before the store's era that were not written again in time.
    pub fn end_evacuation_hold(self: &Rc<Self>) {
        if self.evacuation.held_until.get().is_some_and(|it| it <= self.now()) {
            self.evacuation.held_until.set(None);
            self.update_evacuations("not-written-again", Evacuations::end_hold);
        }
    }

    /// Applies the newest records of all keys, read up to `end`. `started` is the stamp at the start
    /// of the read.
    pub fn apply_newest_evacuations(
        self: &Rc<Self>,
        started: Stamp,
        end: Offset,
        records: Vec<EvacuationRecord>,
    ) -> Progress {
        let domains = records.into_iter().filter(|it| it.is_evacuated).map(|it| it.domain);
        self.update_evacuations("store", |it| it.apply_newest(started, end, domains))
    }

    /// Applies records read from the offset `from` up to `end`. `started` is the stamp at the start
    /// of the read.
    pub fn apply_evacuation_records(
        self: &Rc<Self>,
        started: Stamp,
        from: Offset,
        end: Offset,
        records: &[EvacuationRecord],
    ) -> Progress {
        self.update_evacuations("store", |it| it.apply_records(started, from, end, records))
    }

    /// Adopts the evacuations that a peer has sent if they are later than those known.
    pub fn adopt_evacuations(self: &Rc<Self>, evacuations: &Evacuations, from: SocketAddr) {
        if !evacuations.is_plausible() {
            let finding = format!("state-implausible peer={from}");
            self.report_evacuation_finding(&finding);
            return;
        }
        let known = self.evacuation_stamp();
        if evacuations.stamp() <= known {
            return;
        }
        self.update_evacuations(&format!("peer:{from}"), |it| it.adopt(evacuations));
        if known != Stamp::default() && !evacuations.stamp().shares_offsets(known) {
            // The store's offsets have restarted: this daemon's position in the topic is outdated.
            self.config_wanted.notify_one();
        }
    }

    /// Whether the last change that this daemon has read must be broadcast again now.
    #[must_use]
    pub fn take_evacuation_repeat(&self) -> bool {
        let is_due = self.evacuation.repeat_at.get().is_some_and(|it| it <= self.now());
        if is_due {
            self.evacuation.repeat_at.set(None);
        }
        is_due
    }

    /// Logs a finding about evacuations once.
    pub fn report_evacuation_finding(&self, finding: &str) {
        let mut findings = self.evacuation.findings.borrow_mut();
        if findings.len() < MAX_FINDINGS && findings.insert(xxh3_64(finding.as_bytes())) {
            log::warn!(target: "belief", "event=evacuation-finding finding={finding}");
        }
    }

    pub(super) fn evacuations_known(&self) -> bool {
        self.evacuation.evacuations.borrow().is_known()
    }

    /// Reports evacuated domains without an upstream; called when the registry is complete.
    pub(super) fn check_evacuated_domains(&self) {
        let domains = self.evacuations().domains;
        let registry = self.registry.borrow();
        for domain in domains {
            if !registry.entries().any(|it| it.domain == domain) {
                let domain = printable(&domain);
                self.report_evacuation_finding(&format!("unknown-domain domain={domain}"));
            }
        }
    }

    /// Changes the state and puts the difference in force.
    fn update_evacuations<T>(
        self: &Rc<Self>,
        source: &str,
        update: impl FnOnce(&mut Evacuations) -> T,
    ) -> T {
        let old = self.evacuations();
        let res = update(&mut self.evacuation.evacuations.borrow_mut());
        let new = self.evacuations();
        if new.era > old.era && !new.held.is_empty() {
            self.evacuation.held_until.set(Some(self.now() + REWRITE_TIME));
        }
        if new.era > old.era {
            let (era, before) = (new.era, old.era);
            log::info!(
                target: "belief",
                "event=store-era what=config era={era} before={before} source={source}"
            );
        }
        let stamp = new.stamp();
        let in_force = (old.in_force(), new.in_force());
        if in_force.0 != in_force.1 {
            self.put_evacuations_in_force(&in_force.0, &in_force.1, stamp, source);
        }
        if old.stamp() != stamp && source == "store" {
            self.heartbeat_wanted.notify_one();
            if old.domains != new.domains || !old.stamp().shares_offsets(stamp) {
                self.evacuation.repeat_at.set(Some(self.now() + REPEAT_TIME));
            }
        }
        self.update_phase();
        res
    }

    fn put_evacuations_in_force(
        self: &Rc<Self>,
        old: &BTreeSet<Domain>,
        new: &BTreeSet<Domain>,
        stamp: Stamp,
        source: &str,
    ) {
        let now = self.now();
        for it in new.difference(old) {
            self.evacuation_began(it, stamp, source);
        }
        for it in old.difference(new) {
            self.evacuation_ended(it, stamp, source);
        }
        if new.len() >= MAX_DOMAINS {
            self.report_evacuation_finding(&format!("too-many-domains maximum={MAX_DOMAINS}"));
        }
        let count = i64::try_from(new.len()).unwrap_or(i64::MAX);
        self.metrics.evacuated_domains.set(count);
        self.invalidate_placement();
        let dispatchers = self.dispatchers();
        for dispatcher in &dispatchers {
            let mut service = dispatcher.service.borrow_mut();
            service.set_evacuated(new);
            for it in old.difference(new) {
                service.mark_unknown_temperature(now, it);
            }
            for it in service.iter().filter(|it| it.is_evacuated) {
                self.pool.remove(&it.registration.id);
            }
        }
        // Only now, since a dispatcher that serves its queue may reserve any upstream of its service.
        for it in &dispatchers {
            it.serve_queue(now);
        }
        if self.registry_read_once.get() {
            self.check_evacuated_domains();
        }
    }

    fn evacuation_began(&self, domain: &Domain, stamp: Stamp, source: &str) {
        self.evacuation.since.borrow_mut().insert(domain.clone(), self.now());
        let since = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let label = metrics::Evacuation { domain: domain.to_string() };
        let seconds = i64::try_from(since.as_secs()).unwrap_or(i64::MAX);
        self.metrics.evacuated_since.get_or_create(&label).set(seconds);
        log::info!(
            target: "belief",
            "event=evacuation domain={} state=began era={} epoch={} offset={} since={:.3} source={source}",
            printable(domain), stamp.era, stamp.epoch, stamp.end, since.as_secs_f64()
        );
    }

    fn evacuation_ended(&self, domain: &Domain, stamp: Stamp, source: &str) {
        let since = self.evacuation.since.borrow_mut().remove(domain);
        let lasted = since.map_or(Duration::ZERO, |it| self.now().saturating_duration_since(it));
        let label = metrics::Evacuation { domain: domain.to_string() };
        self.metrics.evacuated_since.remove(&label);
        log::info!(
            target: "belief",
            "event=evacuation domain={} state=ended era={} epoch={} offset={} lasted_ms={} source={source}",
            printable(domain), stamp.era, stamp.epoch, stamp.end, lasted.as_millis()
        );
    }
}

/// A name for log lines: quoted and escaped unless it is a word.
fn printable(domain: &str) -> Cow<'_, str> {
    if domain.chars().all(|it| it.is_ascii_graphic() && it != '"') {
        Cow::Borrowed(domain)
    } else {
        Cow::Owned(format!("{domain:?}"))
    }
}
