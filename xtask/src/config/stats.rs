//! Statistics of simulations.

use std::time::Duration;

/// Statistics of one or more simulations.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stats {
    /// Publications by editors.
    pub(crate) publications: u64,
    /// Publications that took effect.
    pub(crate) accepted: u64,
    /// Publications reported to their editor as rejected.
    pub(crate) rejected: u64,
    /// Publications reported to their editor as unpublished.
    pub(crate) unpublished: u64,
    /// Publications reported to their editor as unknown.
    pub(crate) unknown: u64,
    /// Records that repeated an id.
    pub(crate) repeated: u64,
    /// Starts of hosts.
    pub(crate) starts: u64,
    /// Starts of hosts whose first version came from a peer.
    pub(crate) from_peers: u64,
    /// Snapshots written.
    pub(crate) snapshots: u64,
    /// Versions put in force although a later one had been in force on all hosts or on the same
    /// host.
    pub(crate) reverted: u64,
    /// Publications whose effect differs from what was reported to their editor.
    pub(crate) lost: u64,
    /// Number of times that an edit took effect again.
    pub(crate) doubled: u64,
    /// Number of times that a host's document differed from the reference at the same offset.
    pub(crate) disagreed: u64,
    /// Hosts without the newest version in force at the end.
    pub(crate) stuck: u64,
    /// Longest time until a version was in force on a host, counted while the log was up and the
    /// host was running.
    pub(crate) in_force_max: Duration,
}

impl Stats {
    pub(crate) fn add(&mut self, other: &Self) {
        self.publications += other.publications;
        self.accepted += other.accepted;
        self.rejected += other.rejected;
        self.unpublished += other.unpublished;
        self.unknown += other.unknown;
        self.repeated += other.repeated;
        self.starts += other.starts;
        self.from_peers += other.from_peers;
        self.snapshots += other.snapshots;
        self.reverted += other.reverted;
        self.lost += other.lost;
        self.doubled += other.doubled;
        self.disagreed += other.disagreed;
        self.stuck += other.stuck;
        self.in_force_max = self.in_force_max.max(other.in_force_max);
    }

    /// Number of broken promises, including an exceeded limit on the time until a version is in
    /// force.
    pub(crate) fn violations(&self, in_force_limit: Duration) -> u64 {
        let is_late = u64::from(self.in_force_max > in_force_limit);
        self.reverted + self.lost + self.doubled + self.disagreed + self.stuck + is_late
    }

    /// The line for one run.
    pub(crate) fn row(&self, seed: u64) -> String {
        format!("seed {seed:>5}: {}", self.values())
    }

    /// The line `RESULT ...`.
    pub(crate) fn result(&self) -> String {
        format!("RESULT {}", self.values())
    }

    fn values(&self) -> String {
        format!(
            "publications={} reverted={} lost={} doubled={} disagreed={} in_force_max_s={:.2} \
             stuck={} accepted={} rejected={} unpublished={} unknown={} repeated={} starts={} \
             from_peers={} snapshots={}",
            self.publications,
            self.reverted,
            self.lost,
            self.doubled,
            self.disagreed,
            self.in_force_max.as_secs_f64(),
            self.stuck,
            self.accepted,
            self.rejected,
            self.unpublished,
            self.unknown,
            self.repeated,
            self.starts,
            self.from_peers,
            self.snapshots,
        )
    }
}
