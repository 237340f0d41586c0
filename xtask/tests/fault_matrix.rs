//! A part of the fault matrix with a fixed seed, and its detection of each disabled guard.

use std::process::{Command, Output};

/// Runs `xtask matrix` and returns whether it passed and what it printed.
fn run_matrix(args: &[&str]) -> (bool, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_xtask"));
    let Output { status, stdout, .. } =
        command.arg("matrix").args(args).output().expect("the program runs");
    (status.success(), String::from_utf8(stdout).expect("the output is text"))
}

/// Checks that without `guard` a cell whose name contains `cells` breaks `promise`.
fn check(guard: &str, cells: &str, promise: &str) {
    let (passed, text) = run_matrix(&["--alone", "--only", cells, "--without", guard]);
    assert!(!passed, "{guard}: {text}");
    assert!(text.contains(&format!("VIOLATION {promise} in ")), "{guard}: {text}");
}

#[test]
fn holds_every_promise() {
    let (passed, text) = run_matrix(&["--brief", "--threads", "3"]);
    assert!(passed, "{text}");
    assert!(text.ends_with(" violations=0 unexercised=0\n"), "{text}");
}

#[test]
fn detects_missing_guards() {
    check("probe-budget", "request/accept: slow", "probe-budget");
    check("whole-answer", "request/run: answer-cut", "whole-own-answer");
    check("attempt-id", "request/run: answer-swapped", "whole-own-answer");
    check("maybe-sent", "request/run: reset-mid-answer", "not-run-is-true");
    check("no-second-dispatch", "request/run: reset-mid-answer", "at-most-once");
    check("read-back", "entry-host-killed", "not-run-is-true");
    check("issuer", "order/repeat: slow", "at-most-once");
    check("first-claim", "order/submit: log-slow", "at-most-once");
    check("repeat-key", "order/submit: slow", "at-most-once");
    check("leaving-upstream", "request/run: drain", "leaving-gets-nothing");
    check("leaving-host", "host/leave: host-list-stale", "leaving-gets-nothing");
    check("graceful-stop", "log-slow", "stop-cuts-nothing");
    check("no-revert", "log-down", "version-stays");
    check("edit-base", "publication/append: editors-race", "version-stays");
    check("follow-log", "publication/read: slow", "version-stays");
}
