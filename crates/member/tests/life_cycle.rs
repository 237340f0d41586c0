//! Starting, ready, leaving, stopped.

use std::time::{Duration, Instant};

use member::{Lifecycle, Phase, Starting, Stopped, Verdict};

const LIFETIME: Duration = Duration::from_secs(3);

#[test]
fn leave_and_finish() {
    let now = Instant::now();
    let leaving = Starting.ready().leave(now, LIFETIME);
    let expired = now + LIFETIME;
    let just_valid = now + LIFETIME.saturating_sub(Duration::from_nanos(1));
    assert_eq!(leaving.admit(now), Verdict::Serve);
    assert_eq!(leaving.admit(just_valid), Verdict::Serve);
    assert_eq!(leaving.admit(expired), Verdict::Redirect);

    assert_eq!(leaving.finish(0, now), Err(leaving), "directions are still valid");
    assert_eq!(leaving.finish(1, expired + Duration::from_hours(1)), Err(leaving), "work remains");
    assert_eq!(leaving.finish(0, expired), Ok(Stopped));
}

#[test]
fn phases_for_peers() {
    let ready = Starting.ready();
    assert_eq!(Lifecycle::Starting(Starting).phase(), Phase::Starting);
    assert_eq!(Lifecycle::Ready(ready).phase(), Phase::Ready);
    assert_eq!(Lifecycle::Leaving(ready.leave(Instant::now(), LIFETIME)).phase(), Phase::Leaving);
    assert_eq!(Lifecycle::Stopped(Starting.stop()).phase(), Phase::Leaving);
}
