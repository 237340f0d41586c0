//! Concurrent editors: no change of another editor is undone, and a conflict names the author of the
//! earlier change.

mod util;

use cli::{Code, Error};
use util::{DOCUMENT, Fixture, file, publish_as_other};

const RANK: &str = "[rank urgent]\norder = 0\nfloor_percent = 50";

fn text_of(err: &Error, code: Code) -> String {
    assert_eq!(err.code(), code, "{err}");
    err.to_string()
}

/// Publishing an outdated file doesn't undo a later change of another section.
#[test]
fn stale_file() {
    let fixture = Fixture::published();
    let shown = fixture.run(&["show"]).expect("a document").text;
    publish_as_other(&fixture, "apart", "ops", 1, RANK);
    let file = file("stale", &shown.replace("slots = 6", "slots = 8"));
    let outcome = fixture.run(&["publish", &file, "--wait", "0"]).expect("a publication");
    assert!(
        outcome.text.starts_with("[upstream one]\npublished as version 2,"),
        "{}",
        outcome.text
    );
    let text = fixture.text();
    assert!(text.contains("slots = 8") && text.contains("floor_percent = 50"), "{text}");
}

#[test]
fn same_section() {
    let fixture = Fixture::published();
    let shown = fixture.run(&["show"]).expect("a document").text;
    publish_as_other(&fixture, "apart", "ops", 1, RANK);
    let file = file("same", &shown.replace("= 40", "= 45").replace("slots = 6", "slots = 8"));
    let err = fixture.run(&["publish", &file]).expect_err("a conflict");
    let text = text_of(&err, Code::Conflict);
    assert!(text.contains("[rank urgent] was changed by ops at offset 1"), "{text}");
    // The conflict is found before anything is sent, so the log and the document are unchanged.
    assert_eq!(fixture.publications().len(), 2);
    assert!(fixture.text().contains("slots = 6"));
}

/// The other change is appended between reading and appending, so that only the fold of the log
/// finds the conflict.
#[test]
fn lost_race() {
    let mut fixture = Fixture::published();
    fixture.client = Box::new(Racing { log: fixture.client(), target: fixture.log.address() });
    let err = fixture
        .run(&["edit", "rank", "urgent", "--set", "floor_percent=45"])
        .expect_err("a conflict");
    let text = text_of(&err, Code::Conflict);
    assert!(text.contains("[rank urgent] was changed by ops at offset 1"), "{text}");
    assert!(fixture.text().contains("floor_percent = 50"));
}

/// A log that appends another change before each append.
struct Racing {
    log: platform::Http,
    target: std::net::SocketAddr,
}

impl platform::Log for Racing {
    fn append(&self, stream: &str, record: &bytes::Bytes) -> platform::Result<platform::Offset> {
        let mut other = document::Publication::decode(record).expect("a publication");
        other.id = "racer".into();
        other.changes = vec![document::publication::Change::Set { text: RANK.to_owned() }];
        let client = platform::Http::new(self.target, platform::Settings::default());
        platform::Log::append(&client, stream, &other.encode().into())?;
        self.log.append(stream, record)
    }

    fn read(
        &self,
        stream: &str,
        from: platform::Offset,
        limit: usize,
    ) -> platform::Result<platform::Page> {
        self.log.read(stream, from, limit)
    }
}

#[test]
fn unversioned_file() {
    let fixture = Fixture::published();
    let file = file("unmarked", &DOCUMENT.replace("slots = 6", "slots = 8"));
    let err = fixture.run(&["publish", &file]).expect_err("no version is known");
    let text = text_of(&err, Code::Usage);
    assert!(text.contains("could undo what others changed") && text.contains("(now: 0)"), "{text}");
    let outcome =
        fixture.run(&["publish", &file, "--base", "0", "--wait", "0"]).expect("a version");
    assert!(outcome.text.contains("published as version 1,"), "{}", outcome.text);
    let err = fixture.run(&["publish", &file, "--base", "7"]).expect_err("no such version");
    assert_eq!(text_of(&err, Code::Failed), "version 7 doesn't exist or is no longer in the log");
}

#[test]
fn nothing_changes() {
    let fixture = Fixture::published();
    let file = file("nothing", &fixture.run(&["show"]).expect("a document").text);
    for arguments in [&["publish", &file][..], &["edit", "rank", "urgent", "--set", "order=0"]] {
        let outcome = fixture.run(arguments).expect("nothing to do");
        assert_eq!((outcome.text.as_str(), outcome.code), ("nothing changes\n", Code::Done));
    }
    assert_eq!(fixture.publications().len(), 1);
}

#[test]
fn invalid_file() {
    let fixture = Fixture::published();
    let shown = fixture.run(&["show"]).expect("a document").text;
    let file = file("unsound", &shown.replace("slots = 6", "slots = 0"));
    let err = fixture.run(&["publish", &file]).expect_err("a finding");
    let line = 1 + shown.lines().position(|it| it == "slots = 6").expect("a line");
    let expected = format!("line {line}: [upstream one] slots: `0` is not from 1 to 4096 requests");
    assert_eq!(text_of(&err, Code::Findings), expected);
    assert_eq!(fixture.publications().len(), 1);
}

/// A team may change only its own sections, which is checked before anything is sent.
#[test]
fn foreign_team() {
    let fixture = Fixture::published();
    "stock".clone_into(&mut fixture.team.borrow_mut());
    let own = ["edit", "upstream", "one", "--set", "slots=9", "--wait", "0"];
    assert_eq!(fixture.run(&own).expect("an own section").code, Code::Done);
    let err =
        fixture.run(&["edit", "rank", "urgent", "--set", "order=1"]).expect_err("not its own");
    let text = text_of(&err, Code::Findings);
    assert!(text.contains("only for teams with admin = yes, which stock lacks"), "{text}");
    assert_eq!(fixture.publications().len(), 2);
}

#[test]
fn section_edits() {
    let fixture = Fixture::published();
    let run = |arguments: &[&str]| {
        let arguments: Vec<_> = arguments.iter().copied().chain(["--wait", "0"]).collect();
        fixture.run(&arguments).map(|it| it.code)
    };
    let add = ["edit", "team", "new", "--set", "contact=them", "--set", "admin=yes"];
    assert_eq!(run(&add).expect("a new section"), Code::Done);
    assert!(fixture.text().contains("[team new]\ncontact = them\nadmin = yes\n"));
    let change = ["edit", "team", "new", "--unset", "admin", "--set", "contact=us"];
    assert_eq!(run(&change).expect("a change"), Code::Done);
    assert!(fixture.text().contains("[team new]\ncontact = us\n\n"));
    let file = file("edit", "; why\n[team new]\ncontact = all\n");
    assert_eq!(run(&["edit", "team new", "--file", &file]).expect("a new text"), Code::Done);
    assert!(fixture.text().contains("; why\n[team new]\ncontact = all\n"));
    assert_eq!(run(&["edit", "team", "new", "--remove"]).expect("a removal"), Code::Done);
    assert!(!fixture.text().contains("[team new]"));
    let usage = [
        &["edit", "team", "new"][..],
        &["edit", "team", "ops", "--remove", "--set", "a=b"],
        &["edit", "team", "ops", "--unset", "contact"],
        &["edit", "team", "other", "--file", &file],
        &["edit", "planet", "mars", "--remove"],
    ];
    for arguments in usage {
        assert_eq!(fixture.run(arguments).expect_err("a wrong use").code(), Code::Usage);
    }
}
