//! All findings of a text are reported together, with their lines and sections.

use document::{Document, MAX_FINDINGS, Section};

const VALID: &str = include_str!("../../../samples/cairo.ini");

/// Asserts that the findings in `text` start with the strings in `expected`, in that order.
fn check(text: &str, expected: &[&str]) {
    let findings = Document::parse(text).expect_err("the text is invalid");
    let found: Vec<_> = findings.iter().map(ToString::to_string).collect();
    assert_eq!(found.len(), expected.len(), "{found:#?}");
    for (found, expected) in found.iter().zip(expected) {
        assert!(found.starts_with(expected), "{found}\nexpected {expected}");
    }
}

/// Like [`check`], with `extra` appended to the valid sample; line 1 is the first line of `extra`.
fn check_below(extra: &str, expected: &[(u32, &str)]) {
    let first = u32::try_from(VALID.lines().count()).expect("a short sample");
    let line = |offset| if offset == 0 { 0 } else { first + offset };
    let expected: Vec<_> =
        expected.iter().map(|(offset, it)| format!("line {}: {it}", line(*offset))).collect();
    let expected: Vec<_> = expected.iter().map(String::as_str).collect();
    check(&format!("{VALID}{extra}\n"), &expected);
}

#[test]
fn bad_shape() {
    check(
        "key = 1\n[team a\nadmin = yes\n[planet mars]\n[team ops]\nadmin = yes\n# note\nword\n[team ops]\n[team x y]\n[team]\n [team b]\n ;a=b\n;x\u{1}\na = \u{7f}\n",
        &[
            "line 1: [] key `key` stands before the first section",
            "line 2: [[team a] `[team a` lacks its closing `]`",
            "line 4: [planet mars] unknown kind of section `planet`",
            "line 7: [team ops] `# note` is no `key = value`; comments start with `;`",
            "line 8: [team ops] `word` is no `key = value`",
            "line 9: [team ops] the section stands twice",
            "line 10: [team x y] `x y` is no name",
            "line 11: [team] `` is no name",
            "line 12: [team] `[team b]`: headers and comments start at the line's start",
            "line 13: [team] `;a`: headers and comments start at the line's start",
            "line 14: [team] the line holds control characters",
            "line 15: [team] the line holds control characters",
        ],
    );
}

#[test]
fn bad_values() {
    check_below(
        "[service s]\nowner = stock\nprobe_budget_per_s = NaN\nprobe_path = load\nretry_budget_percent = 101\nbody_limit = 1GiB\nanswer_limit = 1\nqueue_limit = -1\ncolour = red\nowner = stock",
        &[
            (3, "[service s] probe_budget_per_s: `NaN` is not from 0 to 10000 probes a second"),
            (4, "[service s] probe_path: `load` is no path"),
            (5, "[service s] retry_budget_percent: `101` is not from 0 to 100 percent"),
            (6, "[service s] body_limit: `1GiB` is not from 1024 to 67108864 bytes"),
            (7, "[service s] answer_limit: `1` is not from 1024"),
            (8, "[service s] queue_limit: `-1` is not from 0 to 65536 requests"),
            (9, "[service s] unknown key `colour`"),
            (10, "[service s] key `owner` stands twice, first on line"),
        ],
    );
    check_below(
        "[route r]\nmethod = get\npath = /a b\nservice = stock\nrank = urgent\nidempotent = true\ndeadline = 2\n[upstream u]\nservice = stock\naddress = db.example:80\ndomain = a b\nslots = 0\nconnections = 70000",
        &[
            (2, "[route r] method: `get` is none of GET, HEAD"),
            (3, "[route r] path: `/a b` is no path"),
            (6, "[route r] idempotent: `true` is neither `yes` nor `no`"),
            (7, "[route r] deadline: `2` is not from 1 to 600000 ms"),
            (10, "[upstream u] address: `db.example:80` is no address: IP number and port"),
            (11, "[upstream u] domain: `a b` is no name"),
            (12, "[upstream u] slots: `0` is not from 1 to 4096 requests"),
            (13, "[upstream u] connections: `70000` is not from 1 to 65535 connections"),
        ],
    );
}

#[test]
fn missing_keys() {
    check_below(
        "[upstream u]\n[route r]\n[rank k]\n[service s]",
        &[
            (1, "[upstream u] missing key `service`"),
            (1, "[upstream u] missing key `address`"),
            (1, "[upstream u] missing key `domain`"),
            (1, "[upstream u] missing key `slots`"),
            (1, "[upstream u] missing key `connections`"),
            (2, "[route r] missing key `path`"),
            (2, "[route r] missing key `service`"),
            (2, "[route r] missing key `rank`"),
            (3, "[rank k] missing key `order`"),
            (4, "[service s] missing key `owner`"),
        ],
    );
}

#[test]
fn bad_references() {
    check_below(
        "[service s]\nowner = nobody\n[route r]\npath = /stock\nservice = none\nrank = none\n[upstream u]\nservice = none\naddress = 10.0.0.1:80\ndomain = a\nslots = 1\nconnections = 1\n[rank k]\norder = 0\nfloor_percent = 26",
        &[
            (0, "[] floors of all ranks sum to 101 percent; at most 100"),
            (2, "[service s] owner: there is no [team nobody]"),
            (4, "[route r] path: taken already by [route stock-check]"),
            (5, "[route r] service: there is no [service none]"),
            (6, "[route r] rank: there is no [rank none]"),
            (8, "[upstream u] service: there is no [service none]"),
            (14, "[rank k] order: taken already by [rank urgent]"),
        ],
    );
}

#[test]
fn admin_needed() {
    check("[team a]\n", &["line 0: [] no team has `admin = yes`"]);
}

#[test]
fn report_bounded() {
    let findings = Document::parse(&"x\n".repeat(100_000)).expect_err("the text is invalid");
    assert_eq!(findings.len(), MAX_FINDINGS + 1);
    assert!(findings[MAX_FINDINGS].message.contains("the rest isn't listed"));
}

#[test]
fn order_ignored() {
    let sections = document::split(VALID).expect("the sample is valid");
    let reversed: Vec<_> = sections.iter().rev().map(|it| it.text.to_string()).collect();
    assert_eq!(Document::parse(&reversed.join("\n\n")), Document::parse(VALID));
}

#[test]
fn normal_form() {
    let text = "\n;first\n\n;above\n[team  a]\n admin=yes \n;below\n\n;next\n[team b]\n\n\n";
    let sections = document::split(text).expect("the text is valid");
    let texts: Vec<_> = sections.iter().map(|it| (it.line, it.text.to_string())).collect();
    let expected = [
        (2, "; first\n\n; above\n[team a]\nadmin = yes\n; below".to_owned()),
        (9, "; next\n[team b]".to_owned()),
    ];
    assert_eq!(texts, expected);
    for (section, (_, text)) in sections.iter().zip(texts) {
        let again = Section::parse(&text).expect("the normal form is valid");
        assert_eq!((again.line, again.text), (1, section.text.clone()));
    }
}
