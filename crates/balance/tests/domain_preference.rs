//! Upstreams in the host's own failure domain are preferred, unless requests would queue there.

mod common;

use std::time::Instant;

use balance::{Outcome, Report, Settings};
use common::{SERVICE_TIME, balancer, index, one_by_one};

#[test]
fn idle_local_wins() {
    let mut now = Instant::now();
    let mut it = balancer(Settings::default(), 6, 6, now);
    let chosen = one_by_one(&mut it, &mut now, 600, 6, |_| (Outcome::Success, SERVICE_TIME));
    let local: usize = chosen.iter().step_by(2).sum();
    assert!(local > 570, "{chosen:?}");
}

#[test]
fn busy_local_yields() {
    let now = Instant::now();
    let mut it = balancer(Settings::default(), 4, 6, now);
    for local in ["u0", "u2"] {
        it.report(now, local, Report { occupied: 6, queued: 2 });
    }
    for remote in ["u1", "u3"] {
        it.report(now, remote, Report::default());
    }
    let choice = it.choose(now, &[]).expect("room");
    assert_eq!(index(&choice) % 2, 1);
}
