//! Decisions of admission control under typical overload patterns. Each test names the pattern.

mod overload;

use overload::{Current, Policy, Previous, Scores, patterns, run};

const SEED: u64 = 1;

fn scores<P: Policy>(name: &str) -> Scores {
    let pattern = patterns().into_iter().find(|it| it.name == name).expect("a pattern");
    run::<P>(&pattern, SEED)
}

/// Burst of one kind to 1.75 times the capacity. Requests that can't be served must be refused at
/// once and not held, and no fewer may be answered in time.
#[test]
fn burst_of_one_kind() {
    let (old, new) = (scores::<Previous>("one kind").total, scores::<Current>("one kind").total);
    assert!(new.worth_share() >= old.worth_share() - 0.01, "{old:?} {new:?}");
    assert!(f64::from(new.held) < 0.08 * f64::from(new.requests), "{new:?}");
}
