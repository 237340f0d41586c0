//! Accounting of what is held for callers, and who gives it up when memory runs short.

use std::{
    net::IpAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use gateway::{
    Settings,
    memory::{Account, Buffer, Holder, Kind, Memory, Stage},
};

const LIMIT: usize = 64 << 20;
const MB: usize = 1 << 20;

fn address(last: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, last])
}

/// A connection that has received `bytes` of a body and misses `rest` bytes.
fn upload(memory: &Memory, caller: u8, now: Instant, bytes: usize, rest: usize) -> Rc<Holder> {
    let res = memory.register(address(caller), 0, now);
    res.stage.set(Stage::Reading);
    res.bytes.set(bytes);
    res.rest.set(Some(rest));
    res.record(now, bytes);
    res
}

/// Failure: bodies are counted only once they are complete, or by length instead of capacity.
#[test]
fn buffers_count_as_they_grow() {
    let account = Account::new(LIMIT);
    let mut buffer = Buffer::new(4 * MB, account.charge(Kind::Requests));
    for sent in (0..4 * MB).step_by(32 << 10) {
        assert!(account.used() >= sent, "{} bytes counted of {sent}", account.used());
        assert!(account.used() <= 2 * sent + (64 << 10), "{} for {sent}", account.used());
        buffer.extend(&vec![7; 32 << 10]).unwrap();
    }
    assert!(buffer.extend(&[7]).is_err(), "more than the maximum");
    let bytes = buffer.freeze();
    assert!(bytes.len() == 4 * MB && bytes.iter().all(|it| *it == 7));
    let part = bytes.slice(..1);
    drop(bytes);
    assert_eq!(account.used_for(Kind::Requests), 4 * MB, "a part keeps the whole");
    drop(part);
    assert_eq!(account.used(), 0);
}

/// Failure: large bodies leave no memory for ordinary requests.
#[test]
fn reserve_for_small_requests() {
    let memory = Memory::new(LIMIT);
    let mut charge = memory.account().charge(Kind::Requests);
    charge.resize(memory.max_bytes());
    assert!(!memory.allows(4 * MB, 1));
    assert!(memory.allows(0, 4 << 10));
    charge.resize(LIMIT);
    assert!(!memory.allows(0, 4 << 10));
}

/// Failure: heads hold so much of the heap, which keeps it, that no memory is left for bodies.
#[test]
fn heads_hold_a_quarter() {
    let memory = Memory::new(LIMIT);
    let mut bodies = memory.account().charge(Kind::Requests);
    bodies.resize(LIMIT / 2);
    let mut heads = memory.account().charge(Kind::Heads);
    heads.resize(LIMIT / 4);
    assert!(memory.allows_head());
    heads.resize(LIMIT / 4 + 1);
    assert!(!memory.allows_head());
    heads.resize(1);
    bodies.resize(LIMIT);
    assert!(!memory.allows_head(), "the limit holds for heads too");
}

/// Load pattern: many bodies stop short of their end, one still arrives.
#[test]
fn stalled_bodies_go_first() {
    let memory = Memory::new(LIMIT);
    let start = Instant::now();
    let stalled: Vec<_> = (0..8).map(|it| upload(&memory, it, start, 4 * MB, 1)).collect();
    let now = start + Duration::from_secs(3);
    let moving = upload(&memory, 100, now, 4 * MB, 4 * MB);
    let ordinary = upload(&memory, 101, now, 1_000, 0);
    memory.relieve(now, 6 * MB, Some(&ordinary));
    assert_eq!(stalled.iter().filter(|it| it.is_evicted()).count(), 2);
    assert!(!moving.is_evicted() && !ordinary.is_evicted());
    // What is being given up counts, so that nobody else is evicted for the same bytes.
    memory.relieve(now + Duration::from_millis(5), 6 * MB, Some(&ordinary));
    assert_eq!(stalled.iter().filter(|it| it.is_evicted()).count(), 2);
}

/// Failure: work in progress is lost, or a body that is held up by the daemon counts as stalled.
#[test]
fn requests_in_progress_stay() {
    let memory = Memory::new(LIMIT);
    let start = Instant::now();
    let working = upload(&memory, 1, start, 32 * MB, 0);
    working.stage.set(Stage::Working);
    let held = upload(&memory, 2, start, 8 * MB, MB);
    let stalled = upload(&memory, 3, start, 8 * MB, MB);
    let now = start + Duration::from_secs(2);
    held.hold(now);
    memory.relieve(now, MB, None);
    assert!(stalled.is_evicted() && !held.is_evicted() && !working.is_evicted());
}

/// Load pattern: one address holds most of the memory, others hold as much a connection.
#[test]
fn address_with_most_goes_first() {
    let memory = Memory::new(LIMIT);
    let now = Instant::now();
    let one = upload(&memory, 1, now, 2 * MB, 2 * MB);
    let many: Vec<_> = (0..8).map(|_| upload(&memory, 2, now, 2 * MB, 2 * MB)).collect();
    memory.relieve(now + Duration::from_millis(100), 4 * MB, None);
    assert!(!one.is_evicted());
    assert_eq!(many.iter().filter(|it| it.is_evicted()).count(), 2);
}

/// Failure: a new connection is refused while others are idle, or one of another socket is closed.
#[test]
fn longest_idle_connection_is_closed() {
    let memory = Memory::new(LIMIT);
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let other = memory.register(address(1), 1, at(0));
    let slow_head = upload(&memory, 2, at(0), 100, 0);
    let (first, second) =
        (memory.register(address(3), 0, at(1)), memory.register(address(4), 0, at(2)));
    let mut closed = Vec::new();
    while memory.close_idle(0, at(10)) {
        closed.push([&first, &second, &slow_head].map(|it| it.is_evicted()));
    }
    assert_eq!(closed, [[true, false, false], [true, true, false], [true, true, true]]);
    assert!(!other.is_evicted());
}

/// Failure: memory that isn't counted is larger than what is set aside for it, so the process
/// exceeds its share while every caller keeps to the limit.
#[test]
fn uncounted_memory_is_set_aside() {
    for memory_mb in [32, 64, 112, 256, 512] {
        let settings = Settings { memory_bytes: memory_mb << 20, ..Settings::default() };
        let share = settings.memory_bytes / 5 * 4;
        for percent in 0..=75 {
            let uncounted = share * percent / 100;
            let total = uncounted + settings.caller_memory_bytes(uncounted) as u64;
            assert!(total <= share, "{memory_mb} MB, {uncounted} uncounted: {total} of {share}");
        }
    }
}

/// Failure: a process that also hosts something else takes all memory from callers.
#[test]
fn callers_keep_a_quarter() {
    let settings = Settings { memory_bytes: LIMIT as u64, ..Settings::default() };
    let share = settings.memory_bytes / 5 * 4;
    for uncounted in [share, 10 * share, u64::MAX / 2] {
        assert_eq!(settings.caller_memory_bytes(uncounted) as u64, share / 4);
    }
}
