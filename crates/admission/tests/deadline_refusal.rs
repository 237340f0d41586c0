//! Requests that can't be answered in time are refused at once, with an accurate retry delay.

use std::time::{Duration, Instant};

use admission::{Event, Gate, Rank, Reason, Refusal, Request, Settings, Verdict};

/// Service time of each request.
const SERVICE: Duration = Duration::from_millis(20);

fn gate(now: Instant, slots: u32) -> Gate {
    let rank = Rank { id: "only".into(), order: 0, floor_percent: 100 };
    let settings = Settings { wait_limit_percent: 100, ..Settings::default() };
    Gate::new(now, settings, &[rank], slots)
}

fn request(id: u64, deadline: Instant) -> Request {
    Request { id, rank: "only".into(), caller: id.to_string().into(), deadline, expected: SERVICE }
}

/// Occupies the slot, queues `queued` requests with a long deadline, and offers one more with a
/// deadline in `deadline_ms`. Checks that it is refused with the given retry delay, or queued if
/// none is given.
fn check(queued: u64, deadline_ms: u64, retry_after_ms: Option<u64>) {
    let now = Instant::now();
    let mut gate = gate(now, 1);
    for id in 0..=queued {
        let verdict = gate.offer(now, request(id, now + Duration::from_mins(1)));
        assert!(!matches!(verdict, Verdict::Refused(_)));
    }
    let deadline = now + Duration::from_millis(deadline_ms);
    let expected = match retry_after_ms {
        None => Verdict::Queued { displaced: None },
        Some(ms) => Verdict::Refused(Refusal {
            reason: Reason::Deadline,
            retry_after: Duration::from_millis(ms),
        }),
    };
    let verdict = gate.offer(now, request(100, deadline));
    assert_eq!(verdict, expected, "{queued} waiting, {deadline_ms} ms left");
}

#[test]
fn in_time_is_queued() {
    check(0, 41, None);
    check(4, 200, None);
}

#[test]
fn late_is_refused() {
    // The wait is five times 20 ms, of which 40 ms are acceptable; another 20 ms are added because
    // the request that holds the slot may only have started.
    check(4, 60, Some(80));
    check(9, 60, Some(180));
    check(0, 10, Some(20));
}

/// A request that is repeated after the retry delay is accepted.
#[test]
fn retry_delay_suffices() {
    let now = Instant::now();
    let mut gate = gate(now, 1);
    for id in 0..10 {
        gate.offer(now, request(id, now + Duration::from_mins(1)));
    }
    let time_left = Duration::from_millis(70);
    let Verdict::Refused(refusal) = gate.offer(now, request(100, now + time_left)) else {
        panic!("nine requests are queued before it")
    };
    // Serves the queue at its service time until the end of the retry delay.
    let again = now + refusal.retry_after;
    let mut clock = now;
    for id in 0..10 {
        if clock + SERVICE > again {
            break;
        }
        clock += SERVICE;
        gate.release(clock, id, Some(SERVICE));
    }
    let verdict = gate.offer(again, request(101, again + time_left));
    assert!(!matches!(verdict, Verdict::Refused(_)), "refused again after the retry delay");
}

/// After a pause of the process, expired requests are not dispatched.
#[test]
fn pause_expires_late() {
    let now = Instant::now();
    let mut gate = gate(now, 1);
    gate.offer(now, request(1, now + Duration::from_mins(1)));
    gate.offer(now, request(2, now + Duration::from_millis(100)));
    gate.offer(now, request(3, now + Duration::from_mins(1)));
    let later = now + Duration::from_secs(1);
    assert_eq!(gate.release(later, 1, None), [Event::Expire(2), Event::Admit(3)]);
}

/// One slow answer must not make the gate refuse all requests from then on.
#[test]
fn slow_service_recovers() {
    let now = Instant::now();
    let mut gate = gate(now, 1);
    gate.offer(now, request(1, now + Duration::from_mins(1)));
    gate.release(now, 1, Some(Duration::from_secs(30)));
    // By the measured service time no answer would be in time, but a free slot is used
    // nevertheless.
    let verdict = gate.offer(now, request(2, now + Duration::from_millis(100)));
    assert_eq!(verdict, Verdict::Admitted);
}
