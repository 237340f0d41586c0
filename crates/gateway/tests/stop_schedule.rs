//! A leaving daemon accepts what it can answer before it ends.

use std::time::{Duration, Instant};

use gateway::stop::{Schedule, Work};
use quickcheck::quickcheck;

const GRACE: Duration = Duration::from_secs(6);
const USUAL: Duration = Duration::from_millis(450);

fn ms(it: u64) -> Duration {
    Duration::from_millis(it)
}

/// Whether an order is accepted that is read at `now` and whose time limit passes after `limit`.
fn accepts(schedule: &Schedule, now: Instant, limit: Duration, service_time: Duration) -> bool {
    let work = Work { received: now, deadline: now + limit, service_time };
    schedule.accepts(now, &work)
}

#[test]
fn late_requests() {
    let started = Instant::now();
    let schedule = Schedule::new(started, GRACE);
    assert!(accepts(&schedule, started, ms(10_000), USUAL));
    assert!(accepts(&schedule, started + ms(2_400), ms(10_000), USUAL));
    assert!(!accepts(&schedule, started + ms(2_500), ms(10_000), USUAL));
    assert!(accepts(&schedule, started + ms(4_000), ms(1_200), USUAL), "its limit ends before");
}

/// An attempt that would start late, after a wait or as a retry, is not made.
#[test]
fn late_attempts() {
    let started = Instant::now();
    let schedule = Schedule::new(started, GRACE);
    let work = |limit| Work { received: started, deadline: started + limit, service_time: USUAL };
    assert!(schedule.accepts(started + ms(2_400), &work(ms(10_000))));
    assert!(!schedule.accepts(started + ms(2_401), &work(ms(10_000))));
    assert!(schedule.accepts(started + ms(4_900), &work(ms(5_000))), "its limit ends before");
}

/// A route whose requests usually take long needs more time.
#[test]
fn slow_route() {
    let started = Instant::now();
    let schedule = Schedule::new(started, GRACE);
    assert!(accepts(&schedule, started + ms(1_000), ms(10_000), ms(2_000)));
    assert!(!accepts(&schedule, started + ms(2_000), ms(10_000), ms(2_000)));
}

quickcheck! {
    /// Times are in order for any grace period, and a request with no time left is refused.
    fn ordered_times(grace_ms: u16, limit_ms: u16) -> bool {
        let started = Instant::now();
        let schedule = Schedule::new(started, ms(grace_ms.into()));
        let limit = ms(u64::from(limit_ms) + 1);
        schedule.port_closed_at() <= schedule.last_answers_at()
            && schedule.last_answers_at() <= schedule.ends_at()
            && schedule.ends_at() <= started + ms(grace_ms.into())
            && (grace_ms == 0 || !accepts(&schedule, schedule.ends_at(), limit, USUAL))
    }

    /// A request that arrives more than 3 s after the signal was accepted although it could still be in
    /// progress at the end of the stop (`docs/incidents/late_long_orders.md`).
    fn certain_end(grace_ms: u32, after_ms: u16, limit_ms: u16, usual_ms: u8) -> bool {
        let started = Instant::now();
        let schedule = Schedule::new(started, ms(u64::from(grace_ms % 600_000)));
        let received = started + ms(3_000 + u64::from(after_ms));
        let work = Work {
            received,
            deadline: received + ms(limit_ms.into()),
            service_time: ms(usual_ms.into()),
        };
        !schedule.accepts(received, &work) || work.deadline <= schedule.last_answers_at()
    }

    /// The daemon breaks off what is in progress in the last sixth of the grace period and not before.
    fn last_sixth(grace_ms: u32) -> bool {
        let started = Instant::now();
        let grace = ms(u64::from(grace_ms % 600_000));
        Schedule::new(started, grace).last_answers_at() >= started + grace.mul_f64(5.0 / 6.0)
    }
}
