//! Which publications are accepted, and the findings and conflicts of rejected ones.

mod util;

use document::{Document, Fold, Offset, Verdict, WINDOW_RECORDS, publication::Change};
use util::{
    BOOKING, FIRST, RANK, ROUTE, SERVICE, UPSTREAM, first, messages, publication, publish, remove,
    set,
};

/// Publishes `changes` on top of the first document and compares the messages of the rejection; an
/// empty list means that the changes are accepted.
fn check(author: &str, changes: Vec<Change>, expected: &[&str]) {
    let mut fold = first();
    let before = fold.document();
    let verdict = publish(&mut fold, author, changes);
    if expected.is_empty() {
        assert_eq!(verdict, Verdict::Accepted { version: 1 });
        assert_eq!(fold.version(), Some(1));
    } else {
        assert_eq!(messages(&verdict), expected);
        assert_eq!((fold.version(), fold.document()), (Some(0), before));
    }
    assert_eq!(Document::parse(&fold.text()), Ok(fold.document()));
}

#[test]
fn owner_changes() {
    check("stock", vec![set(&UPSTREAM.replace("= 6", "= 9"))], &[]);
    check("stock", vec![remove("upstream one")], &[]);
    check("stock", vec![set(&ROUTE.replace("check", "other").replace("/stock", "/s"))], &[]);
    check("stock", vec![set(&SERVICE.replace("= stock", "= booking"))], &[]);
    check("ops", vec![set(&UPSTREAM.replace("= 6", "= 9")), set("[team new]")], &[]);
    let own = vec![
        set("[service orders]\nowner = booking"),
        set("[route book]\nmethod = POST\npath = /orders\nservice = orders\nrank = urgent"),
    ];
    check("booking", own, &[]);
}

#[test]
fn foreign_sections() {
    let foreign = "belongs to team stock, not to booking";
    let admins = "only for teams with admin = yes, which booking lacks";
    let cases = [
        (set(&UPSTREAM.replace("= 6", "= 9")), format!("line 1: [upstream one] {foreign}")),
        (remove("route check"), format!("line 1: [route check] {foreign}")),
        (
            set(&SERVICE.replace("= stock", "= booking")),
            format!("line 1: [service lookup] {foreign}"),
        ),
        (
            set(&UPSTREAM.replace("one", "two").replace(":80", ":81")),
            format!("line 1: [upstream two] {foreign}"),
        ),
        (set("[service new]\nowner = stock"), format!("line 1: [service new] {foreign}")),
        (set(&RANK.replace("40", "50")), format!("line 1: [rank urgent] {admins}")),
        (set("[team booking]\nadmin = yes"), format!("line 1: [team booking] {admins}")),
    ];
    for (change, expected) in cases {
        check("booking", vec![change], &[&expected]);
    }
    check("nobody", vec![set(BOOKING)], &["line 0: [] the author [team nobody] is no team"]);
}

#[test]
fn whole_document() {
    check("ops", vec![], &["line 0: [] the publication changes nothing"]);
    check(
        "ops",
        vec![remove("service lookup"), set("[team ops]"), remove("team none")],
        &[
            "line 0: [] no team has `admin = yes`; nobody could change ranks and teams",
            "line 1: [team none] there is no such section to remove",
            "line 2: [upstream one] service: there is no [service lookup]",
            "line 3: [route check] service: there is no [service lookup]",
        ],
    );
}

#[test]
fn changes_read() {
    check(
        "stock",
        vec![
            set("[upstream two]\nslots = x"),
            set("[team a]\n[team b]"),
            remove("route check"),
            set(ROUTE),
        ],
        &[
            "line 1: [] expected exactly one section",
            "line 1: [route check] the publication changes the section twice",
            "line 1: [upstream two] missing key `service`",
            "line 1: [upstream two] missing key `address`",
            "line 1: [upstream two] missing key `domain`",
            "line 1: [upstream two] missing key `connections`",
            "line 2: [upstream two] slots: `x` is not from 1 to 4096 requests",
        ],
    );
}

#[test]
fn first_publication() {
    let mut fold = Fold::default();
    let verdict = publish(&mut fold, "stock", vec![set(FIRST)]);
    let expected = ["line 0: [] the first publication must make [team stock] with admin = yes"];
    assert_eq!(messages(&verdict), expected);
    assert_eq!(fold.version(), None);
    assert_eq!(publish(&mut fold, "ops", vec![set(FIRST)]), Verdict::Accepted { version: 1 });
}

/// Two editors who read the same version change one section: the lower offset wins.
#[test]
fn racing_editors() {
    let slots = |count| set(&UPSTREAM.replace("= 6", count));
    let mut fold = first();
    let one = publication("one", "stock", 1, vec![slots("= 7"), set(ROUTE)]);
    let two = publication("two", "ops", 1, vec![slots("= 8"), set(RANK)]);
    let apart = publication("apart", "ops", 1, vec![set("[team new]")]);
    assert_eq!(fold.apply(1, &one.encode()), Verdict::Accepted { version: 1 });
    let verdict = fold.apply(2, &two.encode());
    let expected = ["[upstream one] was changed by stock at offset 1, after the base"];
    assert_eq!(messages(&verdict), expected);
    assert_eq!(fold.apply(3, &apart.encode()), Verdict::Accepted { version: 3 });
    assert_eq!(fold.document().upstreams[0].slots, 7);
    let again = publication("again", "ops", 4, vec![slots("= 8")]);
    assert_eq!(fold.apply(4, &again.encode()), Verdict::Accepted { version: 4 });
}

/// A section that was removed or added since the base is a conflict too.
#[test]
fn racing_removal() {
    let mut fold = first();
    let removal = publication("removal", "stock", 1, vec![remove("upstream one")]);
    let change = publication("change", "ops", 1, vec![set(UPSTREAM)]);
    assert_eq!(fold.apply(1, &removal.encode()), Verdict::Accepted { version: 1 });
    let expected = ["[upstream one] was changed by stock at offset 1, after the base"];
    assert_eq!(messages(&fold.apply(2, &change.encode())), expected);
    let add = |id: &str, author| publication(id, author, 3, vec![set(UPSTREAM)]);
    assert_eq!(fold.apply(3, &add("a", "stock").encode()), Verdict::Accepted { version: 3 });
    let expected = ["[upstream one] was changed by stock at offset 3, after the base"];
    assert_eq!(messages(&fold.apply(4, &add("b", "ops").encode())), expected);
}

#[test]
fn repeated_id() {
    let mut fold = first();
    let add = publication("add", "ops", 1, vec![set("[team new]")]);
    let bad = publication("bad", "ops", 1, vec![set("[service new]\nowner = later")]);
    assert_eq!(fold.apply(1, &add.encode()), Verdict::Accepted { version: 1 });
    assert_eq!(messages(&fold.apply(2, &bad.encode())).len(), 1);
    assert_eq!(
        publish(&mut fold, "ops", vec![set("[team later]")]),
        Verdict::Accepted { version: 3 }
    );
    assert_eq!(
        publish(&mut fold, "ops", vec![remove("team new")]),
        Verdict::Accepted { version: 4 }
    );
    // Repeats don't take effect, although the first would add its section again and the second would
    // be valid now.
    assert_eq!(fold.apply(5, &add.encode()), Verdict::Repeated { first: 1 });
    assert_eq!(fold.apply(6, &bad.encode()), Verdict::Repeated { first: 2 });
    assert_eq!(fold.version(), Some(4));
}

/// A repeat never takes effect, however late it arrives: its base expires before its id is dropped.
#[test]
fn late_repeat() {
    let late = |offset: Offset| {
        let mut fold = first();
        let bad = publication("bad", "ops", 1, vec![set("[service new]\nowner = later")]);
        assert_eq!(messages(&fold.apply(1, &bad.encode())).len(), 1);
        assert_eq!(
            publish(&mut fold, "ops", vec![set("[team later]")]),
            Verdict::Accepted { version: 2 }
        );
        for it in 3..offset {
            fold.apply(it, b"foreign");
        }
        fold.apply(offset, &bad.encode())
    };
    assert_eq!(late(WINDOW_RECORDS + 1), Verdict::Repeated { first: 1 });
    let expired =
        format!("line 0: [] base 1 is more than {WINDOW_RECORDS} records old; read again");
    assert_eq!(messages(&late(WINDOW_RECORDS + 2)), [expired]);
    assert_eq!(messages(&late(2 * WINDOW_RECORDS)).len(), 1);
}

#[test]
fn skipped_records() {
    let mut fold = first();
    let whole = publication("whole", "ops", 1, vec![set("[team new]")]).encode();
    for record in [&b""[..], b"\xff\0", b"{}", b"[[[", &whole[..whole.len() - 1]] {
        let verdict = fold.apply(fold.end(), record);
        assert!(matches!(verdict, Verdict::Skipped { .. }), "{verdict:?}");
    }
    // The complete record is accepted after its truncated copy was skipped.
    assert_eq!(fold.apply(fold.end(), &whole), Verdict::Accepted { version: 6 });
    let verdict = fold.apply(3, &whole);
    assert!(matches!(verdict, Verdict::Skipped { .. }), "{verdict:?}");
}

/// The fold halts at a record with unsupported rules and stays halted.
#[test]
fn newer_rules() {
    let mut fold = first();
    let record = publication("new", "ops", 1, vec![set("[team new]")]).encode();
    let newer =
        String::from_utf8(record.clone()).expect("JSON").replace("\"rules\":1", "\"rules\":2");
    assert_eq!(fold.apply(1, newer.as_bytes()), Verdict::Halted { rules: 2 });
    assert_eq!(fold.apply(2, &record), Verdict::Halted { rules: 2 });
    assert_eq!((fold.end(), fold.version(), fold.halted()), (1, Some(0), Some(2)));
}
