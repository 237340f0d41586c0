//! Order of waiting requests under typical overload patterns.

use std::time::{Duration, Instant};

use gateway::load::{Queue, Waiter};

const MS: Duration = Duration::from_millis(1);

fn waiter(now: Instant, priority: u8, target_ms: u32, deadline_ms: u32) -> Waiter {
    Waiter {
        route: "route".into(),
        tenant: None,
        priority,
        received: now,
        since: now,
        target_latency: MS * target_ms,
        target: now + MS * target_ms,
        deadline: now + MS * deadline_ms,
        time_limit: MS * deadline_ms,
        service_time: MS * 100,
        work: MS * 100,
    }
}

fn order(queue: &Queue) -> Vec<u64> {
    queue.iter().map(|(serial, _)| serial).collect()
}

fn expired(queue: &mut Queue, now: Instant) -> Vec<u64> {
    queue.tick(now).iter().map(|it| it.serial).collect()
}

/// Many requests of low priority arrive along with urgent ones.
#[test]
fn urgent_first() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let low = queue.push(waiter(now, 2, 1_000, 3_000));
    let first = queue.push(waiter(now, 0, 1_000, 3_000));
    let second = queue.push(waiter(now, 0, 1_000, 3_000));
    assert_eq!(order(&queue), [second, first, low]);
    assert_eq!(queue.ahead(0), 2);
    assert_eq!(queue.ahead(2), 3);
}

/// Lasting overload. Served in order of arrival, every request would be late.
#[test]
fn late_requests_last() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let old = queue.push(waiter(now, 1, 300, 3_000));
    let new = queue.push(waiter(now, 1, 600, 3_000));
    let low = queue.push(waiter(now, 2, 600, 3_000));
    assert!(queue.tick(now + MS * 250).is_empty());
    assert_eq!(order(&queue), [new, old, low]);
    assert!(queue.remove(old).is_some());
    assert_eq!(order(&queue), [new, low]);
}

/// Offered load slightly above capacity for half a minute. In order of arrival each request would
/// wait until it is late; with the newest first, most are in time.
#[test]
fn lasting_overload() {
    let start = Instant::now();
    let mut queue = Queue::default();
    let (mut in_time, mut late) = (0, 0);
    for step in 0..3_000 {
        let now = start + MS * 10 * step;
        // Eleven requests arrive for every ten served.
        for _ in 0..if step % 10 == 0 { 2 } else { 1 } {
            queue.push(waiter(now, 1, 300, 1_200));
        }
        queue.tick(now);
        let Some((serial, next)) = queue.iter().next() else { continue };
        let is_late = next.is_late(now);
        queue.remove(serial);
        if is_late { late += 1 } else { in_time += 1 }
    }
    assert!(in_time > 2_900, "{in_time} in time, {late} late");
    assert!(queue.len() < 30, "requests that can only be late are refused");
}

/// Overload in which requests cannot be answered before their deadline.
#[test]
fn unanswerable_requests_removed() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let short = queue.push(waiter(now, 1, 300, 500));
    let long = queue.push(waiter(now, 1, 300, 900));
    assert_eq!(expired(&mut queue, now + MS * 400), [short]);
    assert_eq!(order(&queue), [long]);
    assert_eq!(expired(&mut queue, now + MS * 450), [long], "late after half of its time");
    assert!(queue.is_empty());
}
