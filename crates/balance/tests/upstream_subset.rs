//! An entry host uses a subset of the upstreams, sized from its own demand.

mod common;

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use balance::{Balancer, Outcome, Settings};
use common::{SERVICE_TIME, answer, balancer, index, ms, one_by_one, upstreams};

/// Keeps `in_flight` requests in flight for `time`; each takes [`SERVICE_TIME`].
fn load(balancer: &mut Balancer, now: &mut Instant, in_flight: usize, time: Duration) {
    let end = *now + time;
    while *now < end {
        let choices: Vec<_> =
            (0..in_flight).map(|_| balancer.choose(*now, &[]).expect("room")).collect();
        *now += SERVICE_TIME;
        for choice in choices {
            balancer.finished(*now, choice.dispatch, answer(Outcome::Success, SERVICE_TIME, None));
        }
    }
}

fn used(seed: u64, count: usize, leaving: &[&str]) -> BTreeSet<usize> {
    let mut now = Instant::now();
    let list = upstreams(count, 4);
    let settings = Settings { remote_penalty: Duration::ZERO, ..Settings::default() };
    let mut it = Balancer::new(settings, "home".into(), list, seed, now);
    for name in leaving {
        it.set_leaving(name, true);
    }
    load(&mut it, &mut now, 1, ms(10_000));
    let chosen = one_by_one(&mut it, &mut now, 500, count, |_| (Outcome::Success, SERVICE_TIME));
    (0..count).filter(|i| chosen[*i] > 0).collect()
}

#[test]
fn size_follows_demand() {
    let mut now = Instant::now();
    let mut it = balancer(Settings::default(), 100, 6, now);
    assert_eq!(it.subset(), 100);
    for (in_flight, expected) in [(1, 8..=8), (20, 30..=60), (60, 100..=100), (20, 30..=60)] {
        load(&mut it, &mut now, in_flight, ms(5_000));
        assert!(expected.contains(&it.subset()), "{} for {in_flight}", it.subset());
    }
}

#[test]
fn fluctuations_change_nothing() {
    let mut now = Instant::now();
    let mut it = balancer(Settings::default(), 100, 6, now);
    load(&mut it, &mut now, 20, ms(6_000));
    let before = it.subset_changes();
    for _ in 0..5 {
        load(&mut it, &mut now, 17, ms(2_000));
        load(&mut it, &mut now, 23, ms(2_000));
    }
    assert_eq!(it.subset_changes(), before);
}

#[test]
fn subsets_differ() {
    let sets: Vec<_> = (1..=20).map(|seed| used(seed, 100, &[])).collect();
    let all: BTreeSet<usize> = sets.iter().flatten().copied().collect();
    assert!(sets.iter().all(|it| it.len() <= 8), "{sets:?}");
    assert!(all.len() > 60, "{} of 100 used by 20 hosts", all.len());
}

#[test]
fn leaving_is_replaced() {
    let before = used(1, 100, &[]);
    let gone = *before.first().expect("some");
    let after = used(1, 100, &[&format!("u{gone}")]);
    assert!(!after.contains(&gone));
    assert!(after.difference(&before).count() <= 1, "{before:?} {after:?}");
}

#[test]
fn overflow_uses_others() {
    let mut now = Instant::now();
    let mut it = balancer(Settings::default(), 20, 2, now);
    load(&mut it, &mut now, 1, ms(10_000));
    assert_eq!(it.subset(), 8);
    let chosen: BTreeSet<usize> =
        (0..40).map(|_| index(&it.choose(now, &[]).expect("room"))).collect();
    assert_eq!(chosen.len(), 20);
}
