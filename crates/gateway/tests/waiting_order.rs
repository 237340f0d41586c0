//! The order of requests that wait, for each pattern that it answers.

use std::time::{Duration, Instant};

use gateway::load::{Queue, Waiter};

const MS: Duration = Duration::from_millis(1);

fn waiter(now: Instant, priority: u8, target_ms: u32, deadline_ms: u32) -> Waiter {
    Waiter {
        priority,
        since: now,
        target: now + MS * target_ms,
        deadline: now + MS * deadline_ms,
        work: MS * 100,
    }
}

fn order(queue: &Queue) -> Vec<u64> {
    queue.iter().map(|(serial, _)| serial).collect()
}

/// Pattern: a flood of work of a low rank beside urgent work.
#[test]
fn urgent_first() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let low = queue.push(waiter(now, 2, 1_000, 3_000));
    let urgent = queue.push(waiter(now, 0, 1_000, 3_000));
    let second = queue.push(waiter(now, 0, 1_000, 3_000));
    assert_eq!(order(&queue), [urgent, second, low]);
    assert_eq!(queue.ahead(0), 2);
    assert_eq!(queue.ahead(2), 3);
}

/// Pattern: a flood that lasts. Served in the order of arrival, every request would be late.
#[test]
fn late_ones_behind() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let old = queue.push(waiter(now, 1, 300, 3_000));
    let new = queue.push(waiter(now, 1, 600, 3_000));
    let low = queue.push(waiter(now, 2, 600, 3_000));
    assert!(queue.tick(now + MS * 250).is_empty());
    assert_eq!(order(&queue), [new, old, low]);
    assert!(queue.remove(1, old).is_some());
    assert_eq!(order(&queue), [new, low]);
}

/// Pattern: an overload in which requests can't be answered before their deadline.
#[test]
fn hopeless_ones_go_at_once() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let short = queue.push(waiter(now, 1, 300, 500));
    let long = queue.push(waiter(now, 1, 300, 900));
    assert_eq!(queue.tick(now + MS * 400), [short]);
    assert_eq!(order(&queue), [long]);
    assert_eq!(queue.tick(now + MS * 800), [long]);
    assert!(queue.is_empty());
}
