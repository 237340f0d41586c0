//! What the runs have come to.

use std::time::Duration;

/// What the runs have come to.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    /// Publications that editors began.
    pub(crate) publications: u64,
    /// Publications that took effect.
    pub(crate) accepted: u64,
    /// Publications that editors were told are rejected.
    pub(crate) rejected: u64,
    /// Publications of which editors were told that they had no effect.
    pub(crate) unpublished: u64,
    /// Publications of which editors were told that nobody knows yet.
    pub(crate) unknown: u64,
    /// Records that repeated an id.
    pub(crate) repeated: u64,
    /// Starts of hosts.
    pub(crate) starts: u64,
    /// Starts with a version from a peer.
    pub(crate) from_peers: u64,
    /// Snapshots written.
    pub(crate) snapshots: u64,
    /// Versions put in force after a later one was in force everywhere, or on the same host.
    pub(crate) reverted: u64,
    /// Publications that didn't do what their editor was told.
    pub(crate) lost: u64,
    /// Edits that took effect more than once.
    pub(crate) doubled: u64,
    /// Hosts whose document differed from that of others who had read as far.
    pub(crate) disagreed: u64,
    /// Hosts that didn't follow to the end.
    pub(crate) stuck: u64,
    /// Longest time until a version was in force on a host, with the log up and the host running.
    pub(crate) in_force_max: Duration,
}

impl Tally {
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

    /// Broken promises, a missed bound included.
    pub(crate) fn violations(&self, bound: Duration) -> u64 {
        let is_late = u64::from(self.in_force_max > bound);
        self.reverted + self.lost + self.doubled + self.disagreed + self.stuck + is_late
    }

    /// One line of the table.
    pub(crate) fn row(&self, seed: u64) -> String {
        format!("seed {seed:>5}: {}", self.values())
    }

    /// The last line.
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
