//! A log on loopback, fake hosts without sockets, and a clock that advances only when a verb sleeps.
#![allow(dead_code, reason = "each test file uses a part")]

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
};

use bytes::Bytes;
use cli::{
    Arguments, Context, Error, Outcome, Result, Settings,
    admin::{Admin, Answer},
    arguments::Common,
    verb,
};
use document::{Publication, Version, publication};
use platform::{Error as LogError, Http};
use standin::log::{self, Log};

pub(crate) const DOCUMENT: &str = "\
[team ops]
admin = yes

[team stock]

[rank urgent]
order = 0
floor_percent = 40

[service lookup]
owner = stock

[route check]
path = /stock
service = lookup
rank = urgent

[upstream one]
service = lookup
address = 10.0.0.1:80
domain = delta
slots = 6
connections = 220
";

/// A fake host without sockets.
#[derive(Clone, Debug)]
pub(crate) struct Host {
    pub(crate) version: Option<Version>,
    pub(crate) answers: bool,
    pub(crate) leaving: bool,
}

/// External dependencies of the verbs in a test.
pub(crate) struct Fixture {
    pub(crate) log: Log,
    pub(crate) client: Box<dyn platform::Log>,
    pub(crate) clock: clock::Manual,
    pub(crate) hosts: RefCell<Vec<Host>>,
    pub(crate) team: RefCell<String>,
    /// Called each time a verb sleeps.
    pub(crate) on_sleep: fn(&Fixture),
    pub(crate) sleeps: Cell<u32>,
    seed: Cell<u64>,
}

impl Fixture {
    /// A log without records, and two hosts.
    pub(crate) fn new() -> Self {
        let log = Log::start(log::Settings::default()).expect("a log on loopback");
        let host = Host { version: None, answers: true, leaving: false };
        Self {
            client: Box::new(client(&log)),
            log,
            clock: clock::Manual::default(),
            hosts: RefCell::new(vec![host.clone(), host]),
            team: RefCell::new("ops".to_owned()),
            on_sleep: |_| {},
            sleeps: Cell::new(0),
            seed: Cell::new(1),
        }
    }

    /// A log whose first record publishes [`DOCUMENT`] as version 0.
    pub(crate) fn published() -> Self {
        let fixture = Self::new();
        let file = file("first", DOCUMENT);
        fixture.run(&["publish", &file, "--wait", "0"]).expect("the first publication");
        fixture
    }

    /// A client of the log.
    pub(crate) fn client(&self) -> Http {
        client(&self.log)
    }

    /// Runs a verb with its arguments.
    pub(crate) fn run(&self, arguments: &[&str]) -> Result<Outcome> {
        let mut parser = lexopt::Parser::from_args(arguments);
        let mut common = Common::default();
        let name = common.read_verb(&mut parser)?.expect("a verb");
        let verb = verb::find(&name).expect("a known verb");
        let arguments = Arguments::read(&verb.spec, &mut parser, &mut common)?;
        self.seed.set(self.seed.get() + 1);
        let settings = Settings {
            log_address: None,
            admin_addresses: vec![address(0)],
            team: self.team.borrow().clone(),
        };
        let sleep = |time| {
            self.clock.advance(time);
            self.sleeps.set(self.sleeps.get() + 1);
            (self.on_sleep)(self);
        };
        let cx = Context {
            settings,
            log: &*self.client,
            admin: self,
            clock: &self.clock,
            sleep: &sleep,
            seed: self.seed.get(),
        };
        (verb.run)(&cx, &arguments)
    }

    /// The publications in the log, oldest first.
    pub(crate) fn publications(&self) -> Vec<Publication> {
        let records = self.log.records(publication::STREAM);
        records.iter().filter_map(|it| Publication::decode(it).ok()).collect()
    }

    /// The document's text, without the version line.
    pub(crate) fn text(&self) -> String {
        let shown = self.run(&["show"]).expect("a document").text;
        shown.split_once('\n').expect("a first line").1.to_owned()
    }
}

fn client(log: &Log) -> Http {
    Http::new(log.address(), platform::Settings::default())
}

pub(crate) fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 9_100 + u16::try_from(number).expect("few hosts")))
}

impl Admin for Fixture {
    fn get(&self, address: SocketAddr, path: &str) -> Result<Answer> {
        let hosts = self.hosts.borrow();
        let number = usize::from(address.port() - 9_100);
        let host = &hosts[number];
        if !host.answers {
            return Err(Error::Host { address, reason: "refused".to_owned() });
        }
        let body = match path {
            "/status" => {
                let version = serde_json::to_string(&host.version).expect("a number");
                format!(
                    "{{\"incarnation\":\"i{number}\",\"version\":{version},\"configuration\":{{\"state\":\"following\"}},\"more\":1}}"
                )
            }
            "/hosts" => {
                let line = |(number, it): (usize, &Host)| {
                    let address = self::address(number);
                    format!("{{\"admin_address\":\"{address}\",\"leaving\":{}}}", it.leaving)
                };
                let lines: Vec<_> = hosts.iter().enumerate().map(line).collect();
                format!("[{}]", lines.join(","))
            }
            "/explain/known" if number == 1 => "{\"chosen\":\"one\"}".to_owned(),
            _ => return Ok(Answer { status: 404, body: "{}".to_owned() }),
        };
        Ok(Answer { status: 200, body })
    }

    fn post(&self, address: SocketAddr, path: &str) -> Result<Answer> {
        assert_eq!(path, "/drain");
        self.hosts.borrow_mut()[usize::from(address.port() - 9_100)].leaving = true;
        Ok(Answer { status: 202, body: String::new() })
    }
}

/// Writes a file for a verb and returns its name.
pub(crate) fn file(name: &str, text: &str) -> String {
    let directory = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let id = format!("{:?}", std::thread::current().id()).replace(['(', ')'], "-");
    let path = directory.join(format!("{name}-{}-{id}.ini", std::process::id()));
    std::fs::write(&path, text).expect("a file below the target directory");
    path.to_str().expect("a plain path").to_owned()
}

/// Appends a publication by another editor.
pub(crate) fn publish_as_other(fixture: &Fixture, id: &str, author: &str, base: u64, text: &str) {
    let changes = vec![publication::Change::Set { text: text.to_owned() }];
    let (id, author, note) = (id.into(), author.into(), String::new());
    let publication = Publication { id, author, base, made_at_s: 0, note, changes };
    let _ = fixture.log.inject(publication::STREAM, Bytes::from(publication.encode()));
}

/// Whether a verb failed because the log can't be reached.
pub(crate) fn is_log_error(err: &Error) -> bool {
    matches!(err, Error::Platform(LogError::Unavailable(_)) | Error::Unpublished(_))
}
