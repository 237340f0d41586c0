//! A second attempt beside a first one that takes unusually long.
//!
//! Only urgent, idempotent work is hedged, and only within the retry budget, so that a service that
//! is slow as a whole gets no more work from it.

use std::{future::Future, pin::pin, time::Duration};

use crate::path::attempts::Sent;

/// Multiple of the expected time after which an attempt counts as unusually long.
const DELAY_FACTOR: u32 = 3;
/// Shortest time before a second attempt.
const MIN_DELAY: Duration = Duration::from_millis(2);

/// Time to wait for an attempt that is `expected` to take so long.
#[must_use]
pub fn delay(expected: Duration) -> Duration {
    expected.saturating_mul(DELAY_FACTOR).max(MIN_DELAY)
}

/// Awaits `first`; after `delay` starts a second attempt, if there is one, and takes the good answer
/// that comes first. The other attempt is dropped, which cancels it. If both fail, the one that
/// failed last is returned.
pub async fn race<F, S>(first: F, delay: Duration, start_second: impl FnOnce() -> Option<S>) -> Sent
where
    F: Future<Output = Sent>,
    S: Future<Output = Sent>,
{
    let mut first = pin!(first);
    tokio::select! {
        it = &mut first => return it,
        () = tokio::time::sleep(delay) => {}
    }
    let Some(second) = start_second() else { return first.await };
    let mut second = pin!(second);
    tokio::select! {
        it = &mut first => if it.is_good() { it } else { second.await.after(&it) },
        it = &mut second => if it.is_good() { it } else { first.await.after(&it) },
    }
}
