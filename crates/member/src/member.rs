//! The state of another daemon.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{
    Digest, Identity, Load, Phase, Rumor, Sequence, ServiceIndex, Settings, Version, rumor::tag,
};

/// Rounds for which a change of phase is sent with priority.
const PHASE_CHANGE_ROUNDS: u32 = 6;

/// The state of another daemon, as known to this one.
#[derive(Clone, Debug)]
pub struct Member {
    /// Identity, from its own answer.
    pub identity: Identity,
    /// Phase of its life cycle; only moves forward.
    pub phase: Phase,
    /// Configuration version that it has in force.
    pub version: Version,
    pub(crate) sequence: Sequence,
    pub(crate) last_heartbeat: Instant,
    /// Heartbeats to it that were not answered since newer information about it was received.
    pub(crate) misses: u32,
    /// Times that it became reachable again or was restarted.
    pub(crate) flaps: u32,
    suspected: bool,
    stable_since: Instant,
    phase_since: Instant,
    loads: BTreeMap<ServiceIndex, Received>,
}

/// A load and the time at which it was received.
#[derive(Clone, Copy, Debug)]
struct Received {
    load: Load,
    at: Instant,
}

/// Liveness of a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// The member is reachable.
    Live,
    /// The member is reachable again, but not long enough in view of its previous flaps.
    Damped,
    /// The member may have failed: its last heartbeat is too old, or it left several unanswered.
    Suspect,
}

impl Member {
    pub(crate) fn new(digest: Digest, now: Instant) -> Self {
        Self {
            identity: digest.identity,
            phase: digest.phase,
            version: digest.version,
            sequence: digest.sequence,
            last_heartbeat: now,
            misses: 0,
            flaps: 0,
            suspected: false,
            stable_since: now,
            phase_since: now,
            loads: BTreeMap::new(),
        }
    }

    /// Time since the member sent its last known heartbeat.
    #[must_use]
    pub fn heartbeat_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_heartbeat)
    }

    /// Liveness of the member now.
    #[must_use]
    pub fn liveness(&self, settings: &Settings, now: Instant) -> Liveness {
        if self.suspected || self.is_unresponsive(settings, now) {
            return Liveness::Suspect;
        }
        if now.saturating_duration_since(self.stable_since) < self.damping(settings) {
            return Liveness::Damped;
        }
        Liveness::Live
    }

    /// Applies a rumor of the same incarnation if it is newer.
    pub(crate) fn refresh(&mut self, rumor: &Rumor, now: Instant) {
        self.advance(rumor.phase, now);
        if rumor.sequence <= self.sequence {
            return;
        }
        if rumor.version != self.version {
            self.loads.clear();
        }
        self.sequence = rumor.sequence;
        self.version = rumor.version;
        self.misses = 0;
        let sent_at =
            now.checked_sub(Duration::from_millis(rumor.age_ms)).unwrap_or(self.last_heartbeat);
        self.last_heartbeat = self.last_heartbeat.max(sent_at);
    }

    /// Stores the loads that the member sent, if they belong to its current version.
    pub(crate) fn set_loads(&mut self, version: Version, loads: &[Load], now: Instant) {
        if version != self.version {
            return;
        }
        let received = loads.iter().map(|it| (it.service, Received { load: *it, at: now }));
        self.loads.extend(received);
    }

    /// Load of a service, unless it was received more than `lifetime` ago.
    pub(crate) fn load(
        &self,
        service: ServiceIndex,
        lifetime: Duration,
        now: Instant,
    ) -> Option<Load> {
        let received = self.loads.get(&service)?;
        (now.saturating_duration_since(received.at) <= lifetime).then_some(received.load)
    }

    /// Records that the member is leaving.
    pub(crate) fn set_leaving(&mut self, now: Instant) {
        self.advance(Phase::Leaving, now);
    }

    /// Whether its phase changed so recently that other daemons may not have received the change.
    pub(crate) fn has_recent_phase(&self, settings: &Settings, now: Instant) -> bool {
        now.saturating_duration_since(self.phase_since) < settings.period * PHASE_CHANGE_ROUNDS
    }

    /// Updates whether the host is suspected, and counts its flaps.
    pub(crate) fn update_suspicion(&mut self, settings: &Settings, now: Instant) {
        let is_unresponsive = self.is_unresponsive(settings, now);
        if self.suspected && !is_unresponsive {
            self.flaps = self.flaps.saturating_add(1);
            self.stable_since = now;
        }
        if !is_unresponsive
            && now.saturating_duration_since(self.stable_since) > 2 * settings.damping_limit
        {
            self.flaps = 0;
        }
        self.suspected = is_unresponsive;
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

    fn is_unresponsive(&self, settings: &Settings, now: Instant) -> bool {
        self.misses >= settings.suspect_misses || self.heartbeat_age(now) > settings.suspect_after
    }

    /// Time for which the member must be stable before it counts as live. The first flap has no
    /// effect, because single pauses and network interruptions are common.
    fn damping(&self, settings: &Settings) -> Duration {
        let Some(doublings) = self.flaps.checked_sub(2) else { return Duration::ZERO };
        settings.damping.saturating_mul(2_u32.saturating_pow(doublings)).min(settings.damping_limit)
    }
}
