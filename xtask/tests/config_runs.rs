//! The small part of the configuration's runs, and that they notice each missing guard.

use std::process::{Command, Output};

/// A run in which every missing guard does harm.
const SEED: &str = "20";

/// Runs `xtask config --small` and returns what it prints last.
fn run(args: &[&str]) -> (bool, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_xtask"));
    let Output { status, stdout, .. } =
        command.args(["config", "--small"]).args(args).output().expect("the program runs");
    let text = String::from_utf8(stdout).expect("the output is text");
    (status.success(), text.lines().last().unwrap_or_default().to_owned())
}

/// Without `guard` the runs find a violation that the result line no longer shows as `sign`.
fn check(guard: &str, sign: &str) {
    let (passed, result) = run(&["--seeds", "1", "--seed", SEED, "--break", guard]);
    assert!(!passed && !result.contains(sign), "{guard}: {result}");
}

#[test]
fn holds_every_promise() {
    let (passed, result) = run(&["--seed", SEED]);
    assert!(passed, "{result}");
    assert!(result.contains("reverted=0 lost=0 doubled=0 disagreed=0"), "{result}");
}

#[test]
fn notices_missing_guards() {
    check("id", " doubled=0 ");
    check("verdict", " lost=0 ");
    check("current", " reverted=0 ");
    check("snapshot", " stuck=0 ");
    check("recheck", " reverted=0 ");
}
