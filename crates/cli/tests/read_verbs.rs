//! The read-only verbs.

mod util;

use cli::{Arguments, Code, Error, Settings, arguments::Common, verb};
use document::{Fold, publication, snapshot};
use util::{DOCUMENT, Fixture, address, file, publish_as_other};

const RANK: &str = "[rank urgent]\norder = 0\nfloor_percent = 50";

/// A log of three versions, and one publication that was rejected.
fn fixture() -> Fixture {
    let fixture = Fixture::published();
    publish_as_other(&fixture, "a", "ops", 1, RANK);
    publish_as_other(&fixture, "b", "stock", 1, RANK);
    publish_as_other(&fixture, "c", "ops", 3, &RANK.replace("50", "60"));
    fixture
}

fn text(fixture: &Fixture, arguments: &[&str]) -> String {
    fixture.run(arguments).expect("an outcome").text
}

#[test]
fn show_versions() {
    let fixture = fixture();
    let shown = text(&fixture, &["show"]);
    assert!(shown.starts_with("; fireflydrum version 3\n[team ops]\n"), "{shown}");
    assert!(shown.contains("floor_percent = 60"));
    assert!(text(&fixture, &["show", "--version", "1"]).contains("floor_percent = 50"));
    let section = text(&fixture, &["show", "rank", "urgent", "--version", "0"]);
    assert_eq!(section, "; fireflydrum version 0\n[rank urgent]\norder = 0\nfloor_percent = 40\n");
    for arguments in [&["show", "--version", "2"][..], &["show", "--version", "9"]] {
        let err = fixture.run(arguments).expect_err("no such version");
        assert!(matches!(err, Error::Version(_)), "{err}");
    }
    assert_eq!(fixture.run(&["show", "rank", "x"]).expect_err("no section").code(), Code::Usage);
}

/// Old versions are rebuilt from an earlier snapshot after the log's beginning was dropped.
#[test]
fn show_after_retention() {
    let fixture = fixture();
    let mut fold = Fold::default();
    for (offset, record) in fixture.log.records(publication::STREAM).iter().enumerate().take(2) {
        fold.apply(offset as u64, record);
    }
    let _ = fixture.log.inject(snapshot::STREAM, snapshot::encode(&fold, 0).into());
    fixture.log.truncate(publication::STREAM, 2);
    assert!(text(&fixture, &["show", "--version", "1"]).contains("floor_percent = 50"));
    assert!(text(&fixture, &["show"]).contains("floor_percent = 60"));
    assert_eq!(text(&fixture, &["history"]).lines().count(), 3);
    let err = fixture.run(&["show", "--version", "0"]).expect_err("no longer retained");
    assert_eq!(err.code(), Code::Failed, "{err}");
}

#[test]
fn diff_sides() {
    let fixture = fixture();
    let expected = "[rank urgent]\n- floor_percent = 40\n+ floor_percent = 60\n";
    assert_eq!(text(&fixture, &["diff", "--from", "0"]), expected);
    assert_eq!(text(&fixture, &["diff", "--from", "1", "--to", "1"]), "no difference\n");
    let versioned = format!("; fireflydrum version 1\n{DOCUMENT}\n[team new]\n");
    let file = file("diff", &versioned);
    let expected =
        "[team new]\n+ [team new]\n[rank urgent]\n- floor_percent = 50\n+ floor_percent = 40\n";
    assert_eq!(text(&fixture, &["diff", &file]), expected);
    assert_eq!(fixture.run(&["diff"]).expect_err("nothing to compare").code(), Code::Usage);
}

#[test]
fn history_verdicts() {
    let fixture = fixture();
    let history = text(&fixture, &["history"]);
    let lines: Vec<_> = history.lines().collect();
    assert!(lines[0].starts_with("0  ops  team ops, team stock, rank urgent"), "{history}");
    assert!(lines[1].starts_with("1  ops  rank urgent  id a  accepted as version 1"), "{history}");
    assert!(lines[2].starts_with("2  stock  rank urgent  id b  rejected"), "{history}");
    assert!(lines[3].contains("was changed by ops at offset 1, after the base"), "{history}");
    assert!(lines[4].starts_with("3  ops  rank urgent  id c  accepted as version 3"), "{history}");
    assert_eq!(text(&fixture, &["history", "--limit", "1"]).lines().count(), 1);
    let json = fixture.run(&["history", "--id", "b"]).expect("an outcome").json;
    assert!(
        json.contains("\"verdict\":\"rejected\"") && json.contains("\"author\":\"ops\""),
        "{json}"
    );
}

#[test]
fn check_file() {
    let fixture = Fixture::new();
    let valid = file("valid", DOCUMENT);
    let outcome = fixture.run(&["check", &valid]).expect("an outcome");
    assert_eq!(outcome.text, format!("{valid}: valid, 1 services with 1 upstreams\n"));
    let invalid = file("bad", &format!("{DOCUMENT}slots = 6\n[rank x]\n"));
    let outcome = fixture.run(&["check", &invalid]).expect("an outcome");
    assert_eq!((outcome.code, outcome.text.lines().count()), (Code::Findings, 2));
    let err = fixture.run(&["check", "/nowhere.ini"]).expect_err("no file");
    assert_eq!(err.code(), Code::Failed);
}

#[test]
fn host_verbs() {
    let fixture = Fixture::published();
    let (one, two) = (address(0), address(1));
    fixture.hosts.borrow_mut()[0].version = Some(0);
    let expected = format!(
        "{one}  version 0  configuration following\n{two}  no version  configuration following\n"
    );
    assert_eq!(text(&fixture, &["status"]), expected);
    assert_eq!(text(&fixture, &["hosts"]), format!("{one}  live\n{two}  live\n"));
    let expected = format!("decided on {two}\n{{\n  \"chosen\": \"one\"\n}}\n");
    assert_eq!(text(&fixture, &["explain", "known"]), expected);
    assert_eq!(fixture.run(&["explain", "other"]).expect("an outcome").code, Code::Failed);
    assert_eq!(fixture.run(&["explain", "../status"]).expect_err("no id").code(), Code::Usage);
    fixture.hosts.borrow_mut()[1].answers = false;
    let outcome = fixture.run(&["status"]).expect("an outcome");
    assert_eq!(outcome.code, Code::Failed);
    assert!(outcome.text.contains(&format!("{two}  no answer")), "{}", outcome.text);
}

#[test]
fn log_missing() {
    let fixture = Fixture::published();
    fixture.log.update(|it| it.down = true);
    for arguments in [&["show"][..], &["history"], &["diff", "--from", "0"]] {
        assert_eq!(fixture.run(arguments).expect_err("no log").code(), Code::Unavailable);
    }
}

#[test]
fn help_complete() {
    for it in verb::ALL {
        assert!(it.help.starts_with(&format!("usage: fireflydrum {}", it.name)), "{}", it.name);
        assert!(it.help.contains(&format!("\n  fireflydrum {}", it.name)), "{}", it.name);
        for option in it.spec.options.iter().chain(it.spec.flags) {
            assert!(it.help.contains(&format!("--{option}")), "{} --{option}", it.name);
        }
    }
}

#[test]
fn bad_arguments() {
    let cases = [
        (&["check"][..], "expected 1 arguments, found 0"),
        (&["check", "a", "--what"], "unknown option `what`; see --help"),
        (&["history", "--limit", "x"], "--limit: `x` isn't a whole number"),
        (
            &["show", "--admin", "localhost:1"],
            "`localhost:1` isn't an address such as 10.0.0.1:9100",
        ),
    ];
    for (arguments, expected) in cases {
        let err = Fixture::new().run(arguments).expect_err("a wrong use");
        assert_eq!((err.code(), err.to_string().as_str()), (Code::Usage, expected));
    }
    let mut common = Common::default();
    let mut parser = lexopt::Parser::from_args(["--json", "a", "--team", "x", "--help"]);
    let spec = verb::find("check").expect("a verb").spec;
    Arguments::read(&spec, &mut parser, &mut common).expect("options anywhere");
    assert!(common.json && common.help && common.settings.team == "x");
}

#[test]
fn settings_file() {
    let text = "[fireflydrum]\nlog_address = 10.0.0.9:7000\nadmin_addresses = 10.0.0.1:9100, 10.0.0.2:9100\nteam = ops\n";
    let settings = Settings::parse(text).expect("valid settings");
    assert_eq!((settings.admin_addresses.len(), settings.team.as_str()), (2, "ops"));
    let err =
        Settings::parse("[x]\n[fireflydrum]\nlog_address = here\nteem = ops\n").expect_err("three");
    assert_eq!(err.to_string().lines().count(), 3, "{err}");
}
