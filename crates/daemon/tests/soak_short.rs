//! A short soak of real daemons with fixed seeds. `cargo xtask soak` runs longer ones.

use std::{path::PathBuf, time::Duration};

use soak::Options;

/// Seeds to run. A seed that has found a fault stays here, with the cause in a comment.
const SEEDS: [u64; 1] = [1];

#[test]
fn fixed_seeds() {
    for seed in SEEDS {
        let report = soak::run(&Options {
            daemon: PathBuf::from(env!("CARGO_BIN_EXE_fireflydrumd")),
            folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}")),
            seed,
            length: Duration::from_secs(8),
            ..Options::default()
        })
        .expect("the daemons start");
        assert!(report.findings.is_empty(), "{report}");
    }
}
