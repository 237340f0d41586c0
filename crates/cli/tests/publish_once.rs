//! A publication takes effect once, even if answers of the log are lost.

mod util;

use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use cli::{Code, Error};
use platform::{Log, Offset, Page};
use util::{Fixture, is_log_error};

const EDIT: [&str; 7] = ["edit", "upstream", "one", "--set", "slots=9", "--wait", "0"];

/// Edits and checks that the publication takes effect once and that the log holds `records` copies
/// of it.
fn check(fixture: &Fixture, records: usize) {
    let outcome = fixture.run(&EDIT).expect("a publication");
    assert_eq!(outcome.code, Code::Done);
    let publications = fixture.publications();
    let id = &publications[1].id;
    assert!(publications[1..].iter().all(|it| it.id == *id));
    assert_eq!(publications.len(), 1 + records);
    assert!(outcome.text.contains("published as version 1,"), "{}", outcome.text);
    assert!(fixture.text().contains("slots = 9"));
    let history = fixture.run(&["history"]).expect("the history").text;
    assert_eq!(history.matches("accepted").count(), 2, "{history}");
}

#[test]
fn plain_append() {
    check(&Fixture::published(), 1);
}

/// The record is stored and the answer lost: the id is found in the log, and nothing is sent again.
#[test]
fn lost_answer() {
    let fixture = Fixture::published();
    fixture.log.update(|it| it.lost_answers = 1);
    check(&fixture, 1);
}

#[test]
fn duplicate_records() {
    let fixture = Fixture::published();
    fixture.log.update(|it| it.duplicates = 1);
    check(&fixture, 2);
}

/// The answer is lost and the log is down before it can be read: the same id is sent again.
#[test]
fn lost_and_down() {
    let mut fixture = Fixture::published();
    fixture.log.update(|it| it.lost_answers = 2);
    fixture.on_sleep = |fixture| fixture.log.update(|it| it.down = fixture.sleeps.get() < 3);
    check(&fixture, 1);
}

#[test]
fn down_for_long() {
    let fixture = Fixture::published();
    fixture.log.update(|it| it.down = true);
    let err = fixture.run(&EDIT).expect_err("the log is down");
    assert!(is_log_error(&err), "{err}");
    assert_eq!(err.code(), Code::Unavailable);
    assert_eq!(fixture.publications().len(), 1);
}

/// The log stores the record and stops answering: the error tells the operator to look for the id
/// with `history` before publishing again, and `history` finds it.
#[test]
fn unknown_effect() {
    let mut fixture = Fixture::published();
    let log = fixture.client();
    fixture.client = Box::new(Unresponsive { log, is_appended: AtomicBool::new(false) });
    let err = fixture.run(&EDIT).expect_err("the answer is lost");
    assert_eq!(err.code(), Code::Unknown);
    let Error::Unknown { id, .. } = &err else { panic!("{err}") };
    assert!(err.to_string().contains(&format!("history --id {id}")));
    fixture.client = Box::new(fixture.client());
    let found = fixture.run(&["history", "--id", id]).expect("the history");
    assert!(found.text.contains("accepted as version 1"), "{}", found.text);
    let missing = fixture.run(&["history", "--id", "other"]).expect("the history");
    assert_eq!(missing.code, Code::Unknown);
}

/// A log that stores one record and answers nothing from then on.
struct Unresponsive {
    log: platform::Http,
    is_appended: AtomicBool,
}

impl Log for Unresponsive {
    fn append(&self, stream: &str, record: &Bytes) -> platform::Result<Offset> {
        if !self.is_appended.swap(true, Ordering::Relaxed) {
            let _ = self.log.append(stream, record);
        }
        Err(platform::Error::Unknown("no answer".to_owned()))
    }

    fn read(&self, stream: &str, from: Offset, limit: usize) -> platform::Result<Page> {
        if self.is_appended.load(Ordering::Relaxed) {
            return Err(platform::Error::Unavailable("no answer".to_owned()));
        }
        self.log.read(stream, from, limit)
    }
}
