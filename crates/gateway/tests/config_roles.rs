//! Who reads the configuration from the store, and how long a read may be held back.

use std::time::Duration;

use gateway::config::Role;

/// Time limit for applying a configuration on the smallest deployments.
const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// Time after a fault from which that limit holds again.
const STABILITY: Duration = Duration::from_secs(3);

/// A read whose connection goes silent is replaced before the limit holds again, by every daemon
/// that reads, in fleets of any size.
#[test]
fn silent_connection() {
    for peers in 0..300 {
        for position in 0..=peers {
            let role = Role::new(peers, position);
            let max_age = role.max_confirmation_age(CONFIG_APPLY);
            assert!(max_age <= STABILITY, "{role:?} with {peers} peers: {max_age:?}");
        }
    }
}

/// The pause between two confirmations is shorter than the age from which daemons distrust the last
/// one, so that a fleet without faults does not read more often.
#[test]
fn regular_confirmations() {
    for peers in 0..300 {
        let confirming = Role::new(peers, 0);
        assert!(matches!(confirming, Role::Confirming(_)));
        for position in 0..=peers {
            let max_age = Role::new(peers, position).max_confirmation_age(CONFIG_APPLY * 5 / 4);
            assert!(confirming.poll_time() < max_age, "{position} of {peers}");
        }
    }
}

/// In a fleet of any size, few daemons keep reading; in a small one all do.
#[test]
fn readers_of_a_fleet() {
    let readers = |peers| (0..=peers).filter(|it| Role::new(peers, *it).reads()).count();
    assert_eq!([0, 3, 7].map(readers), [1, 4, 8]);
    assert_eq!([8, 40, 300].map(readers), [3, 3, 3]);
}
