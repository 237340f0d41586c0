//! Backoff grows up to a limit, has jitter, and is reset by a success.

use std::time::Duration;

use platform::Backoff;

const BASE: Duration = Duration::from_millis(100);
const LIMIT: Duration = Duration::from_secs(5);

#[test]
fn bounds_and_reset() {
    for seed in 0..50 {
        let mut backoff = Backoff::new(BASE, LIMIT, fastrand::Rng::with_seed(seed));
        for failures in 0..100_u32 {
            let bound = BASE.saturating_mul(2_u32.saturating_pow(failures)).min(LIMIT);
            let wait = backoff.failed();
            assert!(wait >= bound / 2 && wait <= bound, "seed {seed}: {wait:?} of {bound:?}");
        }
        backoff.succeeded();
        assert!(backoff.failed() <= BASE);
    }
}

/// Clients that fail simultaneously retry at different times.
#[test]
fn jitter() {
    let mut waits: Vec<_> = (0..20)
        .map(|seed| Backoff::new(BASE, LIMIT, fastrand::Rng::with_seed(seed)).failed())
        .collect();
    waits.sort();
    waits.dedup();
    assert!(waits.len() > 15, "{waits:?}");
}
