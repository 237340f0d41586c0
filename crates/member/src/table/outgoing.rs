//! To whom heartbeats go, and what they tell of others.

use std::{collections::BTreeMap, time::Instant};

use crate::{Address, Member, Rumor, Settings};

/// Members that are told at once that this daemon is leaving.
const LEAVING_SAMPLE: usize = 8;

/// To whom heartbeats go, and what they tell of others.
#[derive(Debug)]
pub(super) struct Outgoing {
    rng: fastrand::Rng,
    next_round: Instant,
    rotation: Vec<Address>,
}

impl Outgoing {
    /// The first round is due at once.
    pub(super) fn new(rng: fastrand::Rng, now: Instant) -> Self {
        Self { rng, next_round: now, rotation: Vec::new() }
    }

    /// Whether a round is due; if so the next one is planned, with jitter.
    pub(super) fn is_due(&mut self, settings: &Settings, now: Instant) -> bool {
        if now < self.next_round {
            return false;
        }
        self.next_round = now + settings.period.mul_f64(0.9 + 0.2 * self.rng.f64());
        true
    }

    /// The next `count` members in a random rotation, so that each has its turn in bounded time.
    pub(super) fn targets(
        &mut self,
        members: &BTreeMap<Address, Member>,
        count: usize,
    ) -> Vec<Address> {
        let count = count.min(members.len());
        let mut res = Vec::with_capacity(count);
        while res.len() < count {
            if self.rotation.is_empty() {
                self.rotation.extend(members.keys());
                self.rng.shuffle(&mut self.rotation);
            }
            let next = self.rotation.pop();
            res.extend(next.filter(|it| members.contains_key(it) && !res.contains(it)));
        }
        res
    }

    /// Some members for news that can't wait.
    pub(super) fn sample(&mut self, members: &BTreeMap<Address, Member>) -> Vec<Address> {
        self.rng.choose_multiple(members.keys().copied(), LEAVING_SAMPLE)
    }

    /// What to tell `to` of others.
    ///
    /// Changes of phase go first, in half of the room. Then come members of which `asked`, the rumors of the message that is
    /// answered, is out of date. The rest is shared by those of whom this daemon has heard nothing for
    /// longest, as a question, and those heard of most lately, as news.
    pub(super) fn rumors(
        &mut self,
        members: &BTreeMap<Address, Member>,
        to: Address,
        asked: &[Rumor],
        settings: &Settings,
        now: Instant,
    ) -> Vec<Rumor> {
        let mut others: Vec<_> = members.values().filter(|it| it.identity.address != to).collect();
        self.rng.shuffle(&mut others);
        let (mut chosen, mut others): (Vec<_>, Vec<_>) =
            others.into_iter().partition(|it| it.is_news(settings, now));
        chosen.truncate(settings.rumors / 2);

        let asked: BTreeMap<_, _> = asked.iter().map(|it| (it.address, it.sequence)).collect();
        let is_answer = |it: &Member| {
            asked.get(&it.identity.address).is_some_and(|sequence| it.sequence > *sequence)
        };
        others.sort_by_cached_key(|it| (!is_answer(it), it.heartbeat_age(now)));
        let answers = others.iter().filter(|it| is_answer(it)).count();
        let room = settings.rumors - chosen.len();
        let latest = if asked.is_empty() { room.div_ceil(2) } else { room.max(answers) };
        chosen.extend(others.drain(..latest.min(room).min(others.len())));
        let room = settings.rumors - chosen.len();
        chosen.extend(others.into_iter().rev().take(room));
        chosen.into_iter().map(|it| it.rumor(now)).collect()
    }
}
