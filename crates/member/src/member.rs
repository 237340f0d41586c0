//! What is known of another daemon.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{
    Digest, Identity, Load, Phase, Rumor, Sequence, ServiceIndex, Settings, Version, rumor::tag,
};

/// Rounds for which a change of phase is told before anything else.
const NEWS_ROUNDS: u32 = 6;

/// What is known of another daemon.
#[derive(Clone, Debug)]
pub struct Member {
    /// Who it is, by its own answer.
    pub identity: Identity,
    /// Where it stands in its life; never goes back.
    pub phase: Phase,
    /// Version that it has in force.
    pub version: Version,
    pub(crate) sequence: Sequence,
    pub(crate) heard: Instant,
    pub(crate) misses: u32,
    pub(crate) returns: u32,
    suspected: bool,
    steady_since: Instant,
    phase_since: Instant,
    loads: BTreeMap<ServiceIndex, Told>,
}

/// A load and when it was told.
#[derive(Clone, Copy, Debug)]
struct Told {
    load: Load,
    at: Instant,
}

/// What to expect of a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// It answers.
    Live,
    /// It answers again, but has come and gone too often to be relied on yet.
    Damped,
    /// It is silent.
    Suspect,
}

impl Member {
    pub(crate) fn new(digest: Digest, now: Instant) -> Self {
        Self {
            identity: digest.identity,
            phase: digest.phase,
            version: digest.version,
            sequence: digest.sequence,
            heard: now,
            misses: 0,
            returns: 0,
            suspected: false,
            steady_since: now,
            phase_since: now,
            loads: BTreeMap::new(),
        }
    }

    /// Time since the last heartbeat that is known to have left it.
    #[must_use]
    pub fn heartbeat_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard)
    }

    /// What to expect of it.
    #[must_use]
    pub fn liveness(&self, settings: &Settings, now: Instant) -> Liveness {
        if self.suspected || self.is_silent(settings, now) {
            return Liveness::Suspect;
        }
        if now.saturating_duration_since(self.steady_since) < self.hold(settings) {
            return Liveness::Damped;
        }
        Liveness::Live
    }

    /// Takes over news of the same incarnation if they are newer.
    pub(crate) fn refresh(&mut self, news: &Rumor, now: Instant) {
        self.advance(news.phase, now);
        if news.sequence <= self.sequence {
            return;
        }
        if news.version != self.version {
            self.loads.clear();
        }
        self.sequence = news.sequence;
        self.version = news.version;
        self.misses = 0;
        let left = now.checked_sub(Duration::from_millis(news.age_ms)).unwrap_or(self.heard);
        self.heard = self.heard.max(left);
    }

    /// Takes over the loads that the member told itself, if they belong to its version.
    pub(crate) fn take_loads(&mut self, version: Version, loads: &[Load], now: Instant) {
        if version != self.version {
            return;
        }
        let told = loads.iter().map(|it| (it.service, Told { load: *it, at: now }));
        self.loads.extend(told);
    }

    /// Load of a service, unless it was told too long ago.
    pub(crate) fn load(
        &self,
        service: ServiceIndex,
        lifetime: Duration,
        now: Instant,
    ) -> Option<Load> {
        let told = self.loads.get(&service)?;
        (now.saturating_duration_since(told.at) <= lifetime).then_some(told.load)
    }

    /// Takes note that the member is leaving.
    pub(crate) fn leave(&mut self, now: Instant) {
        self.advance(Phase::Leaving, now);
    }

    /// Whether its phase changed so lately that others may not know.
    pub(crate) fn is_news(&self, settings: &Settings, now: Instant) -> bool {
        now.saturating_duration_since(self.phase_since) < settings.period * NEWS_ROUNDS
    }

    /// Settles whether the host is suspected, and counts its returns.
    pub(crate) fn review(&mut self, settings: &Settings, now: Instant) {
        let silent = self.is_silent(settings, now);
        if self.suspected && !silent {
            self.returns = self.returns.saturating_add(1);
            self.steady_since = now;
        }
        if !silent && now.saturating_duration_since(self.steady_since) > 2 * settings.hold_limit {
            self.returns = 0;
        }
        self.suspected = silent;
    }

    pub(crate) fn rumor(&self, now: Instant) -> Rumor {
        Rumor {
            address: self.identity.address,
            tag: tag(self.identity.incarnation),
            phase: self.phase,
            sequence: self.sequence,
            version: self.version,
            age_ms: u64::try_from(self.heartbeat_age(now).as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn advance(&mut self, phase: Phase, now: Instant) {
        if phase > self.phase {
            self.phase = phase;
            self.phase_since = now;
        }
    }

    fn is_silent(&self, settings: &Settings, now: Instant) -> bool {
        self.misses >= settings.suspect_misses || self.heartbeat_age(now) > settings.suspect_after
    }

    /// The first return is free: a single pause or cut is common.
    fn hold(&self, settings: &Settings) -> Duration {
        let Some(doublings) = self.returns.checked_sub(2) else { return Duration::ZERO };
        settings.hold.saturating_mul(2_u32.saturating_pow(doublings)).min(settings.hold_limit)
    }
}
