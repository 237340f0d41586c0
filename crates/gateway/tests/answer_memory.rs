//! Load pattern: several upstreams answer without an end at the same time.

use gateway::upstream::Memory;

const LIMIT: usize = 16 << 20;

/// Endless answers fail once they use the memory up; usual ones are read meanwhile.
#[test]
fn endless_answers() {
    let memory = Memory::new(LIMIT);
    let mut shares: Vec<_> = (0..8).map(|_| memory.share()).collect();
    let mut bytes = 0;
    while shares.iter_mut().all(|it| it.resize(bytes)) {
        bytes += 64 << 10;
    }
    assert!(memory.used() <= LIMIT + (64 << 10), "{} bytes", memory.used());
    let mut usual = memory.share();
    assert!(usual.resize(100 << 10));
    assert!(!usual.resize(1 << 20));
}

/// A share that ends gives its memory back.
#[test]
fn ended_answers() {
    let memory = Memory::new(LIMIT);
    for _ in 0..100 {
        let mut share = memory.share();
        assert!(share.resize(LIMIT));
        assert!(share.resize(1 << 20));
        assert_eq!(memory.used(), 1 << 20);
    }
    assert_eq!(memory.used(), 0);
}
