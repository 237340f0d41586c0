//! Model checking of the order protocol on small scenarios, and its detection of each disabled
//! guard.

use std::process::{Command, Output};

/// Runs `xtask orders --small`. Returns whether it succeeded, and the last line of its output.
fn run_orders(args: &[&str]) -> (bool, String) {
    let program = env!("CARGO_BIN_EXE_xtask");
    let mut command = Command::new(program);
    let Output { status, stdout, .. } =
        command.args(["orders", "--small"]).args(args).output().expect("the program runs");
    let text = String::from_utf8(stdout).expect("the output is text");
    (status.success(), text.lines().last().unwrap_or_default().to_owned())
}

/// Checks that the search of `scenario` without `guard` finds the violation `expected_violation` in
/// the result line.
fn check(guard: &str, scenario: &str, expected_violation: &str) {
    let (passed, result) = run_orders(&["--walks", "0", "--scenario", scenario, "--break", guard]);
    assert!(!passed, "{guard}: {result}");
    assert!(result.contains(expected_violation), "{guard}: {result}");
}

#[test]
fn holds_every_promise() {
    let (passed, result) = run_orders(&["--walks", "200"]);
    assert!(passed, "{result}");
    assert!(result.contains("partial=0"), "{result}");
}

#[test]
fn detects_missing_guards() {
    check("burn", "journaled", "false_not_run=1");
    check("deadline", "unjournaled", "late=1");
    check("fingerprint", "unjournaled-misuse", "wrong_answer=1");
    check("issuer", "unjournaled", "doubled=1");
    check("not-run", "unjournaled-misuse", "false_not_run=1");
    check("permit", "journaled", "false_not_run=1");
    check("read-back", "journaled", "false_not_run=1");
    check("resend", "unjournaled", "doubled=1");
    check("retention", "journaled-trimmed", "false_not_run=1");
    check("revocation", "journaled", "false_not_run=1");
    check("timers", "journaled-trimmed", "stuck=1");
}
