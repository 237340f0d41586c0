//! Hedged requests: a second attempt in parallel with a first one that takes unusually long.
//!
//! Only urgent, idempotent work is hedged, and only within the retry budget, so that hedges don't
//! add load to a service that is slow as a whole.

use std::{future::Future, pin::pin, time::Duration};

use crate::proxy::attempts::Finished;

/// Multiple of the expected time after which an attempt is hedged.
const DELAY_FACTOR: u32 = 3;
/// Minimum time before a second attempt.
const MIN_DELAY: Duration = Duration::from_millis(2);

/// Returns how long to wait before hedging an attempt that is expected to take `expected`.
#[must_use]
pub fn delay(expected: Duration) -> Duration {
    expected.saturating_mul(DELAY_FACTOR).max(MIN_DELAY)
}

/// Awaits `first`; after `delay` starts a second attempt, if `start_second` returns one, and
/// returns the attempt that succeeds first. The other one is dropped, which cancels it. If both
/// fail, the one that failed last is returned.
pub async fn race<F, S>(
    first: F,
    delay: Duration,
    start_second: impl FnOnce() -> Option<S>,
) -> Finished
where
    F: Future<Output = Finished>,
    S: Future<Output = Finished>,
{
    let mut first = pin!(first);
    tokio::select! {
        it = &mut first => return it,
        () = tokio::time::sleep(delay) => {}
    }
    let Some(second) = start_second() else { return first.await };
    let mut second = pin!(second);
    tokio::select! {
        it = &mut first => if it.is_success() { it } else { second.await.with_earlier(&it) },
        it = &mut second => if it.is_success() { it } else { first.await.with_earlier(&it) },
    }
}
