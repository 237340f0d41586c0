//! Decisions of admission control under typical overload patterns. Each test names the pattern.

mod overload;

use std::time::{Duration, Instant};

use gateway::load::{Overload, Queue, Reason, Refused, Waiter, Work};
use overload::{Current, Policy, Previous, Scores, patterns, run};

const MS: Duration = Duration::from_millis(1);
const SEED: u64 = 1;

fn waiter(now: Instant, route: &str, work_ms: u32, target_ms: u32, deadline_ms: u32) -> Waiter {
    Waiter {
        route: route.into(),
        tenant: None,
        priority: 1,
        received: now,
        since: now,
        target_latency: MS * target_ms,
        target: now + MS * target_ms,
        deadline: now + MS * deadline_ms,
        time_limit: MS * deadline_ms,
        service_time: MS * work_ms,
        work: MS * work_ms,
    }
}

fn search(now: Instant) -> Waiter {
    waiter(now, "search", 260, 800, 2_500)
}

/// A queue of a daemon with `slots` slots.
fn queue(slots: f64) -> Queue {
    let mut res = Queue::new(Overload::default(), SEED);
    res.set_slots(slots);
    res
}

/// Offers `count` requests at once; returns the refusals.
fn offer(queue: &mut Queue, now: Instant, count: usize, waiter: &Waiter) -> Vec<Refused> {
    (0..count).filter_map(|_| queue.offer(now, waiter.clone()).err()).collect()
}

fn scores<P: Policy>(name: &str) -> Scores {
    let pattern = patterns().into_iter().find(|it| it.name == name).expect("a pattern");
    run::<P>(&pattern, SEED)
}

/// Usual load. Admission control must change nothing without overload.
#[test]
fn usual_load() {
    let (old, new) = (scores::<Previous>("usual load"), scores::<Current>("usual load"));
    assert_eq!(old.total, new.total);
}

/// Burst of one kind to 1.75 times the capacity. Requests that can't be served must be refused at
/// once and not held, and no fewer may be answered in time.
#[test]
fn burst_of_one_kind() {
    for name in ["one kind", "one kind, 40 daemons", "non-idempotent"] {
        let (old, new) = (scores::<Previous>(name).total, scores::<Current>(name).total);
        assert!(new.worth_share() > old.worth_share(), "{name}: {old:?} {new:?}");
        assert!(new.held * 10 < old.held * 6, "{name}: {old:?} {new:?}");
    }
}

/// One tenant sends seven times its usual load. The others must not pay for it.
#[test]
fn flood_of_one_tenant() {
    let scores = scores::<Current>("one tenant floods");
    for name in ["large", "middle", "small"] {
        let it = scores.tenants[name];
        assert!(it.served_share() > 0.93, "{name}: {it:?}");
    }
    let flood = scores.tenants["flood"].served_share();
    assert!(flood < scores.total.served_share(), "{flood}");
}

/// A flood among thousands of tenants that each send little.
#[test]
fn flood_among_many_tenants() {
    let start = Instant::now();
    let mut queue = queue(10.0);
    let of = |now, tenant: String| Waiter { tenant: Some(tenant.into()), ..search(now) };
    for it in 0..5_000 {
        let now = start + MS * it;
        queue.record_sent(now, &of(now, format!("tenant-{it}")));
    }
    let now = start + MS * 10_000;
    for _ in 0..20 {
        queue.record_sent(now, &of(now, "flood".to_owned()));
    }
    for _ in 0..20 {
        let _refused = queue.offer(now, of(now, "flood".to_owned()));
    }
    let other = queue.offer(now, of(now, "tenant-7".to_owned())).expect("within its share");
    let first = queue.iter().next().map(|(serial, _)| serial);
    assert_eq!(first, Some(other), "the tenant that sent little goes first");
}

/// Urgent requests beside a burst of bulk, and a burst of both. The urgent kind must not fall
/// behind.
#[test]
fn urgent_beside_bulk() {
    for name in ["urgent beside bulk", "urgent flood", "urgent alone over capacity"] {
        let scores = scores::<Current>(name);
        let (urgent, bulk) = (scores.kinds["urgent"], scores.kinds["download"]);
        let (a, b) = (urgent.served_share(), bulk.served_share());
        assert!(a > b - 0.05, "{name}: {a} {b}");
        let (a, b) = (urgent.worth_share(), bulk.worth_share());
        assert!(a > b - 0.15, "{name}: {a} {b}");
    }
}

/// No kind and no tenant may be served less than a quarter as often as all.
#[test]
fn starvation_bounds() {
    for pattern in patterns() {
        let scores = run::<Current>(&pattern, SEED);
        let total = scores.total.served_share();
        for (name, it) in scores.kinds.iter().chain(&scores.tenants) {
            let share = it.served_share();
            assert!(share > 0.25 * total, "{}, {name}: {share} of {total}", pattern.name);
        }
    }
}

/// Sends one waiting request every 25 ms for 30 s, while `arrivals` gives those that arrive in each
/// step. Returns the share that is sent of all requests and of those for which `is_weak` holds.
fn served_shares(
    arrivals: impl Fn(u32, Instant) -> Vec<Waiter>,
    is_weak: impl Fn(&Waiter) -> bool,
) -> (f64, f64) {
    let start = Instant::now();
    let mut queue = queue(4.0);
    let (mut offered, mut served) = ([0, 0], [0, 0]);
    for step in 0..1_200 {
        let now = start + MS * 25 * step;
        for it in arrivals(step, now) {
            offered[0] += 1;
            offered[1] += i32::from(is_weak(&it));
            let _refused = queue.offer(now, it);
        }
        queue.tick(now);
        let Some(serial) = queue.iter().next().map(|(serial, _)| serial) else { continue };
        let sent = queue.grant(now, serial).expect("a waiting request");
        served[0] += 1;
        served[1] += i32::from(is_weak(&sent));
    }
    let share = |it: usize| f64::from(served[it]) / f64::from(offered[it]);
    (share(0), share(1))
}

/// Urgent requests alone exceed the capacity for 30 s. The others must not be starved.
#[test]
fn starvation_by_urgent() {
    let arrivals = |step, now| {
        let urgent = Waiter { priority: 0, ..waiter(now, "urgent", 100, 250, 1_000) };
        let mut res = vec![urgent.clone(), urgent];
        if step % 4 == 0 {
            res.push(Waiter { priority: 2, ..waiter(now, "bulk", 100, 1_500, 3_000) });
        }
        res
    };
    let (total, bulk) = served_shares(arrivals, |it| &*it.route == "bulk");
    assert!(bulk > 0.25 * total && bulk < total, "{bulk} of {total}");
}

/// Short requests alone exceed the capacity for 30 s. Long ones must not be starved.
#[test]
fn starvation_by_short_work() {
    let arrivals = |step, now| {
        let short = waiter(now, "read", 100, 300, 1_200);
        let mut res = vec![short.clone(), short];
        if step % 4 == 0 {
            res.push(waiter(now, "upload", 310, 1_500, 3_000));
        }
        res
    };
    let (total, long) = served_shares(arrivals, |it| &*it.route == "upload");
    assert!(long > 0.25 * total && long < total, "{long} of {total}");
}

/// Short requests alone exceed the capacity for 30 s, beside a kind that needs more time than its
/// target allows. It is always late, but must not be starved.
#[test]
fn starvation_of_late_kind() {
    let arrivals = |step, now| {
        let short = waiter(now, "read", 100, 300, 1_200);
        let mut res = vec![short.clone(), short];
        if step % 4 == 0 {
            res.push(waiter(now, "report", 310, 200, 3_000));
        }
        res
    };
    let (total, late) = served_shares(arrivals, |it| &*it.route == "report");
    assert!(late > 0.25 * total && late < total, "{late} of {total}");
}

/// A tenant floods while the others alone need the whole capacity. It pays first, but must not be
/// starved.
#[test]
fn starvation_of_flooding_tenant() {
    let of = |tenant: String, now| Waiter {
        tenant: Some(tenant.into()),
        ..waiter(now, "read", 100, 300, 1_200)
    };
    let arrivals = |step, now| {
        let flood = || of("flood".to_owned(), now);
        vec![flood(), of(format!("tenant-{}", step % 10), now), flood()]
    };
    let is_flood = |it: &Waiter| it.tenant.as_deref() == Some("flood");
    let (total, flood) = served_shares(arrivals, is_flood);
    assert!(flood > 0.25 * total && flood < total, "{flood} of {total}");
}

/// Short reads and long uploads of the same priority. More requests are answered in time if long
/// ones, which can wait longer, give way.
#[test]
fn mixed_work_sizes() {
    let (old, new) =
        (scores::<Previous>("reads and uploads"), scores::<Current>("reads and uploads"));
    assert!(new.total.worth_share() > old.total.worth_share() + 0.05, "{old:?} {new:?}");
}

/// Many callers are refused at the same time. They must return at different times, and soon enough
/// to honour `Retry-After`: they wait for at most a third of the time that they have left.
#[test]
fn retries_after_refusal() {
    let now = Instant::now();
    let mut queue = queue(2.0);
    let refused = offer(&mut queue, now, 100, &search(now));
    assert!(refused.len() > 50, "{}", refused.len());
    let mut times: Vec<_> = refused.iter().map(|it| it.retry_after).collect();
    times.sort_unstable();
    let (first, last) = (times[0], times[times.len() - 1]);
    assert!(first >= MS * 50 && last <= MS * 2_500 / 3, "{first:?} {last:?}");
    let middle = times[times.len() / 2];
    assert!(last > first + MS * 100 && middle > first + MS * 30, "{first:?} {middle:?} {last:?}");
}

/// A caller returns after a refusal. Its target counts from its first attempt, so it goes behind
/// requests that can still be in time.
#[test]
fn returning_caller_late() {
    let start = Instant::now();
    let mut queue = queue(1.0);
    for it in 0..30 {
        let now = start + MS * 1_000 * it;
        queue.record_sent(now, &search(now));
    }
    queue.set_slots(8.0);
    let now = start + MS * 40_000;
    let returning = waiter(now, "search", 260, 800, 1_600);
    let fresh = queue.offer(now, search(now)).expect("an empty queue");
    let late = queue.offer(now, returning).expect("a short queue");
    let order: Vec<_> = queue.iter().map(|(serial, _)| serial).collect();
    assert_eq!(order, [fresh, late], "sent to be in time first");
}

/// The daemon leaves, so that deadlines are sooner than usual. Callers don't count as returning.
#[test]
fn leaving_daemon() {
    let start = Instant::now();
    let mut queue = queue(1.0);
    for it in 0..60 {
        let now = start + MS * 1_000 * it;
        queue.record_sent(now, &search(now));
    }
    queue.set_slots(8.0);
    let now = start + MS * 70_000;
    let other = queue.offer(now, search(now)).expect("an empty queue");
    let waiter = Waiter { deadline: now + MS * 1_200, ..search(now) };
    let shortened = queue.offer(now, waiter).expect("a short queue");
    let order: Vec<_> = queue.iter().map(|(serial, _)| serial).collect();
    assert_eq!(order, [shortened, other], "the newest first");
}

/// Callers of a route that set time limits of their own. A short one is not taken for a sign that
/// the caller has tried before.
#[test]
fn mixed_time_limits() {
    let start = Instant::now();
    let mut queue = queue(1.0);
    for it in 0..300 {
        let now = start + MS * 200 * it;
        let limit = if it % 3 == 0 { 900 } else { 2_500 };
        queue.record_sent(now, &waiter(now, "search", 260, 800, limit));
    }
    queue.set_slots(8.0);
    let now = start + MS * 70_000;
    let long = queue.offer(now, search(now)).expect("an empty queue");
    let short = queue.offer(now, waiter(now, "search", 260, 800, 900)).expect("a short queue");
    let order: Vec<_> = queue.iter().map(|(serial, _)| serial).collect();
    assert_eq!(order, [short, long], "the newest first, as in every short queue");
}

/// Requests that arrive too late to be answered before their deadline.
#[test]
fn expired_refused_at_once() {
    let now = Instant::now();
    let mut queue = queue(4.0);
    let hopeless = Waiter { deadline: now + MS * 200, ..search(now) };
    let refused = queue.offer(now, hopeless).expect_err("less time than the work needs");
    assert_eq!(refused.reason, Reason::Overload);
    assert!(refused.retry_after <= MS * 200 / 3, "{refused:?}");
    assert!(queue.is_empty());
}

/// A burst ten times as large as what can be answered in time. What is beyond that is refused on
/// arrival.
#[test]
fn queue_stays_short() {
    let now = Instant::now();
    let mut queue = queue(4.0);
    offer(&mut queue, now, 100, &search(now));
    // Four slots answer a little over eight requests of 260 ms in the 540 ms until the target.
    assert!((3..=9).contains(&queue.len()), "{}", queue.len());
}

/// Urgent requests arrive behind a queue of bulk. Bulk that will be late is refused while that
/// costs its callers nothing, and not after a long wait.
#[test]
fn displaced_early() {
    let start = Instant::now();
    let mut queue = queue(1.0);
    let bulk = |now| Waiter { priority: 2, ..waiter(now, "bulk", 100, 800, 2_500) };
    let urgent = |now| Waiter { priority: 0, ..waiter(now, "urgent", 100, 1_600, 2_500) };
    let early = queue.offer(start, bulk(start)).expect("an empty queue");
    let now = start + MS * 150;
    let recent = queue.offer(now, bulk(now)).expect("a short queue");
    offer(&mut queue, now, 20, &urgent(now));
    let refused = queue.tick(now + MS * 10);
    let displaced: Vec<_> = refused.iter().map(|it| (it.serial, it.reason)).collect();
    assert_eq!(displaced, [(recent, Reason::Displaced)], "{early} was held for longer");
}

/// Three in a hundred answers take seven times as long. They raise what a request costs, but not
/// the time in which most are answered.
#[test]
fn tail_of_work() {
    let mut work = Work::new(MS * 260);
    for it in 0..3_000 {
        work.record(if it % 33 == 0 { 1.82 } else { 0.26 });
    }
    let (mean, likely) = (work.mean(), work.likely());
    assert!(mean > MS * 270 && mean < MS * 420, "{mean:?}");
    assert!(likely >= MS * 180 && likely < MS * 312, "{likely:?}");
}
