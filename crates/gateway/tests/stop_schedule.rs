//! A leaving daemon accepts what it can answer before it ends.

use std::time::{Duration, Instant};

use gateway::stop::Schedule;
use quickcheck::quickcheck;

const GRACE: Duration = Duration::from_secs(6);
const USUAL: Duration = Duration::from_millis(450);

fn ms(it: u64) -> Duration {
    Duration::from_millis(it)
}

#[test]
fn late_requests() {
    let started = Instant::now();
    let schedule = Schedule::new(started, GRACE);
    assert!(schedule.accepts(started, ms(10_000), USUAL));
    assert!(schedule.accepts(started + ms(2_400), ms(10_000), USUAL));
    assert!(!schedule.accepts(started + ms(2_500), ms(10_000), USUAL));
    assert!(schedule.accepts(started + ms(4_000), ms(1_200), USUAL), "its limit ends before");
}

/// A route whose requests usually take long needs more time.
#[test]
fn slow_route() {
    let started = Instant::now();
    let schedule = Schedule::new(started, GRACE);
    assert!(schedule.accepts(started + ms(1_000), ms(10_000), ms(2_000)));
    assert!(!schedule.accepts(started + ms(2_000), ms(10_000), ms(2_000)));
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
            && (grace_ms == 0 || !schedule.accepts(schedule.ends_at(), limit, USUAL))
    }
}
