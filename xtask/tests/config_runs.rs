//! Short simulations of the configuration, and their detection of each disabled guard.

use std::process::{Command, Output};

/// A seed with which every disabled guard leads to a violation.
const SEED: &str = "20";

/// Runs `xtask config --small`. Returns whether it succeeded, and the last line of its output.
fn run(args: &[&str]) -> (bool, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_xtask"));
    let Output { status, stdout, .. } =
        command.args(["config", "--small"]).args(args).output().expect("the program runs");
    let text = String::from_utf8(stdout).expect("the output is text");
    (status.success(), text.lines().last().unwrap_or_default().to_owned())
}

/// Checks that a run without `guard` finds a violation, so that the result line no longer contains
/// `expected`.
fn check(guard: &str, expected: &str) {
    let (passed, result) = run(&["--seeds", "1", "--seed", SEED, "--break", guard]);
    assert!(!passed && !result.contains(expected), "{guard}: {result}");
}

#[test]
fn holds_every_promise() {
    let (passed, result) = run(&["--seed", SEED]);
    assert!(passed, "{result}");
    assert!(result.contains("reverted=0 lost=0 doubled=0 disagreed=0"), "{result}");
}

#[test]
fn detects_missing_guards() {
    check("id", " doubled=0 ");
    check("verdict", " lost=0 ");
    check("current", " reverted=0 ");
    check("snapshot", " stuck=0 ");
    check("recheck", " reverted=0 ");
}
