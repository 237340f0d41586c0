//! Decides which request may hold one of a service's slots.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{
    Displacement, Event, Rank, Reason, Refusal, Request, RequestId, Settings, Snapshot, Verdict,
    lane::Lane, queue::Entry,
};

/// Index of a lane; lanes are never moved.
type LaneIndex = usize;

/// Expected number of slots below which a rank is assumed not to be served at all.
const MIN_SHARE_SLOTS: f64 = 1e-6;

/// Decides which request may hold one of a service's slots on one entry host.
///
/// Invariants: the number of requests that hold a slot never exceeds the capacity at the time the
/// last of them was admitted; a request that waited past its latest start is never admitted; each
/// offered request ends exactly once, by a refusal, an event, a cancellation or a release.
#[derive(Debug)]
pub struct Gate {
    settings: Settings,
    capacity: u32,
    in_flight: u32,
    queued: usize,
    lanes: Vec<Lane>,
    /// Lanes, in the order of service.
    order: Vec<LaneIndex>,
    /// Requests that hold a slot.
    holders: HashMap<RequestId, LaneIndex>,
}

impl Gate {
    /// A gate with `capacity` slots.
    #[must_use]
    pub fn new(now: Instant, settings: Settings, ranks: &[Rank], capacity: u32) -> Self {
        let mut gate = Self {
            settings,
            capacity,
            in_flight: 0,
            queued: 0,
            lanes: Vec::new(),
            order: Vec::new(),
            holders: HashMap::new(),
        };
        gate.update_lanes(now, ranks);
        gate
    }

    /// Changes the number of slots; requests that hold a slot keep it.
    pub fn set_capacity(&mut self, now: Instant, capacity: u32) -> Vec<Event> {
        self.advance(now);
        self.capacity = capacity;
        self.lanes.iter_mut().for_each(|it| it.set_capacity(capacity));
        self.dispatch(now)
    }

    /// Changes the ranks. Waiting requests of a removed rank are served last; new ones are refused.
    pub fn set_ranks(&mut self, now: Instant, ranks: &[Rank]) -> Vec<Event> {
        self.advance(now);
        self.update_lanes(now, ranks);
        self.dispatch(now)
    }

    /// Changes the settings.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Requests a slot.
    pub fn offer(&mut self, now: Instant, request: Request) -> Verdict {
        let Some(index) = self.lane_index(&request.rank) else {
            return self.refuse(Reason::UnknownRank, self.settings.max_retry_after);
        };
        if self.is_known(request.id) {
            return self.refuse(Reason::DuplicateId, self.settings.max_retry_after);
        }
        self.advance(now);
        if now >= request.deadline {
            return self.refuse_late(index, Duration::ZERO);
        }
        if self.has_slot_for(index, request.expected) {
            self.assign_slot(index, request.id);
            return Verdict::Admitted;
        }
        self.enqueue(now, index, request)
    }

    /// Releases the slot of `id`; `served` is the time that a backend server took for a complete
    /// answer, `None` if the attempt did not measure one.
    pub fn release(&mut self, now: Instant, id: RequestId, served: Option<Duration>) -> Vec<Event> {
        self.advance(now);
        if let Some(index) = self.holders.remove(&id) {
            self.in_flight -= 1;
            let lane = &mut self.lanes[index];
            lane.in_flight -= 1;
            if let Some(sample) = served {
                lane.service_time.record(sample);
            }
        }
        self.dispatch(now)
    }

    /// Cancels a request, whether it waits or holds a slot.
    pub fn cancel(&mut self, now: Instant, id: RequestId) -> Vec<Event> {
        if self.holders.contains_key(&id) {
            return self.release(now, id, None);
        }
        self.advance(now);
        for lane in &mut self.lanes {
            if lane.queue.remove(id).is_some() {
                lane.counts.cancelled += 1;
                self.queued -= 1;
            }
        }
        self.dispatch(now)
    }

    /// Expires requests that can no longer be answered in time, and assigns free slots.
    pub fn tick(&mut self, now: Instant) -> Vec<Event> {
        self.advance(now);
        self.dispatch(now)
    }

    /// The state, for status pages and metrics.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        let lanes = self.order.iter().map(|it| self.lanes[*it].snapshot()).collect();
        Snapshot { capacity: self.capacity, lanes }
    }

    fn update_lanes(&mut self, now: Instant, ranks: &[Rank]) {
        for lane in &mut self.lanes {
            lane.update_rank(ranks.iter().find(|it| it.id == lane.rank));
        }
        for rank in ranks {
            if !self.lanes.iter().any(|it| it.rank == rank.id) {
                self.lanes.push(Lane::new(now, rank, self.capacity));
            }
        }
        self.lanes.iter_mut().for_each(|it| it.set_capacity(self.capacity));
        self.order = (0..self.lanes.len()).collect();
        self.order.sort_by_key(|it| self.lanes[*it].order);
    }

    fn lane_index(&self, rank: &str) -> Option<LaneIndex> {
        self.lanes.iter().position(|it| it.is_current && &*it.rank == rank)
    }

    fn is_known(&self, id: RequestId) -> bool {
        let is_queued = || self.lanes.iter().any(|it| it.queue.contains(id));
        self.holders.contains_key(&id) || (self.queued > 0 && is_queued())
    }

    fn advance(&mut self, now: Instant) {
        let backlogged = self.lanes.iter().filter(|it| !it.queue.is_empty()).count();
        for lane in &mut self.lanes {
            let own = usize::from(!lane.queue.is_empty());
            lane.advance(now, backlogged > own);
        }
    }

    fn free_slots(&self) -> u32 {
        self.capacity.saturating_sub(self.in_flight)
    }

    /// Whether a new request may have a free slot without taking one to which the floor of another
    /// lane entitles a waiting request.
    fn has_slot_for(&self, index: LaneIndex, expected: Duration) -> bool {
        let free = self.free_slots();
        if free == 0 {
            return false;
        }
        if self.queued > 0 {
            let others = self.lanes.iter().enumerate().filter(|(it, _)| *it != index);
            let reserved =
                others.filter(|(_, it)| !it.queue.is_empty() && it.is_below_floor()).count();
            if free as usize <= reserved {
                return false;
            }
        }
        self.lanes[index].is_below_floor() || self.may_borrow(index, expected)
    }

    /// Whether a lane may have a free slot beyond its floor. Long requests leave more urgent ranks
    /// part of their unused floor, because they would hold the slot past those ranks' deadlines.
    fn may_borrow(&self, index: LaneIndex, expected: Duration) -> bool {
        let lane = &self.lanes[index];
        let limit = self.settings.long_work_threshold;
        if expected <= limit && lane.service_time_s(expected) <= limit.as_secs_f64() {
            return true;
        }
        let share = f64::from(self.settings.headroom_percent) / 100.0;
        let more_urgent = self.lanes.iter().filter(|it| it.order < lane.order);
        let headroom: f64 = more_urgent.map(|it| it.unused_reserve(share)).sum();
        f64::from(self.free_slots()) >= headroom.floor() + 1.0
    }

    fn assign_slot(&mut self, index: LaneIndex, id: RequestId) {
        self.in_flight += 1;
        self.holders.insert(id, index);
        let lane = &mut self.lanes[index];
        lane.in_flight += 1;
        lane.counts.admitted += 1;
    }

    fn enqueue(&mut self, now: Instant, index: LaneIndex, request: Request) -> Verdict {
        let Some(latest_start) = request.latest_start().filter(|it| *it > now) else {
            return self.refuse_late(index, request.expected);
        };
        let queue = &self.lanes[index].queue;
        let wait = self.expected_wait(index, queue.position(&request.caller), request.expected);
        let slack = latest_start.saturating_duration_since(now);
        let slack = slack * u32::from(self.settings.wait_limit_percent) / 100;
        if wait > slack {
            let turn = self.expected_wait(index, 0, request.expected);
            return self.refuse_late(index, wait.saturating_sub(slack).saturating_add(turn));
        }
        let displaced = self.displace(now, index, &request);
        if displaced.is_none() && self.lanes[index].queue.len() >= self.settings.queue_limit {
            self.lanes[index].counts.refused_full += 1;
            return self.refuse(Reason::QueueFull, wait);
        }
        let Request { id, caller, expected, .. } = request;
        self.lanes[index].queue.push(Entry { id, caller, expected, queued_at: now, latest_start });
        self.queued += 1;
        Verdict::Queued { displaced }
    }

    /// Displaces a request of the caller with the most waiting requests, if the queue is full or if
    /// that request could not be answered in time after all others.
    fn displace(
        &mut self,
        now: Instant,
        index: LaneIndex,
        request: &Request,
    ) -> Option<Displacement> {
        let newest_first = self.settings.newest_first_after_percent < 100;
        let lane = &self.lanes[index];
        let victim = lane.queue.displaceable(&request.caller, newest_first)?;
        let id = victim.id;
        let wait = self.expected_wait(index, lane.queue.len(), victim.expected);
        let slack = victim.latest_start.saturating_duration_since(now);
        if lane.queue.len() < self.settings.queue_limit && wait <= slack {
            return None;
        }
        let lane = &mut self.lanes[index];
        lane.queue.remove(id);
        lane.counts.displaced += 1;
        self.queued -= 1;
        Some(Displacement { id, retry_after: self.clamp_retry_after(wait.saturating_sub(slack)) })
    }

    /// Expected time until `ahead` requests of a lane and one more have been given a slot.
    fn expected_wait(&self, index: LaneIndex, ahead: usize, expected: Duration) -> Duration {
        let share = self.expected_share(index);
        if share < MIN_SHARE_SLOTS {
            return Duration::MAX;
        }
        let service = self.lanes[index].service_time_s(expected);
        let turns = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX)) + 1.0;
        Duration::try_from_secs_f64(turns * service / share).unwrap_or(Duration::MAX)
    }

    /// Slots that a backlogged lane can expect: its floor, or if larger, the capacity less the
    /// usage of lanes that are at least as urgent and the floors that less urgent lanes have
    /// requests for.
    fn expected_share(&self, index: LaneIndex) -> f64 {
        let lane = &self.lanes[index];
        let mut available = f64::from(self.capacity);
        for (other_index, other) in self.lanes.iter().enumerate() {
            if other_index == index {
                continue;
            }
            available -=
                if other.order <= lane.order { other.usage() } else { other.claimed_floor() };
        }
        available.max(lane.floor()).min(f64::from(self.capacity))
    }

    fn refuse_late(&mut self, index: LaneIndex, excess: Duration) -> Verdict {
        self.lanes[index].counts.refused_deadline += 1;
        self.refuse(Reason::Deadline, excess)
    }

    fn refuse(&self, reason: Reason, retry_after: Duration) -> Verdict {
        Verdict::Refused(Refusal { reason, retry_after: self.clamp_retry_after(retry_after) })
    }

    fn clamp_retry_after(&self, excess: Duration) -> Duration {
        excess.max(self.settings.min_retry_after).min(self.settings.max_retry_after)
    }

    /// Expires waiting requests, then assigns free slots.
    fn dispatch(&mut self, now: Instant) -> Vec<Event> {
        if self.queued == 0 {
            return Vec::new();
        }
        let mut events = Vec::new();
        for lane in &mut self.lanes {
            while let Some(entry) = lane.queue.pop_expired(now) {
                lane.counts.expired += 1;
                self.queued -= 1;
                events.push(Event::Expire(entry.id));
            }
        }
        let newest_first = self.settings.newest_first_after_percent;
        while let Some(index) = self.next_lane(now) {
            let Some(entry) = self.lanes[index].queue.pop(now, newest_first) else {
                break;
            };
            self.queued -= 1;
            self.assign_slot(index, entry.id);
            events.push(Event::Admit(entry.id));
        }
        events
    }

    /// The lane that gets the next free slot: the first that is below its floor, or else the first
    /// that may borrow.
    fn next_lane(&self, now: Instant) -> Option<LaneIndex> {
        if self.queued == 0 || self.free_slots() == 0 {
            return None;
        }
        let backlogged = || self.order.iter().filter(|it| !self.lanes[**it].queue.is_empty());
        let may_borrow = |index: LaneIndex| {
            let next = self.lanes[index].queue.peek(now, self.settings.newest_first_after_percent);
            next.is_some_and(|it| self.may_borrow(index, it.expected))
        };
        backlogged()
            .find(|it| self.lanes[**it].is_below_floor())
            .or_else(|| backlogged().find(|it| may_borrow(**it)))
            .copied()
    }
}
