//! A log line of a daemon.

use std::fmt;

use serde::Serialize;

/// A log line of a daemon: `key=value` pairs from `time=` on.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Line {
    /// Host that wrote the line: the word before `time=`, or else the name of the file.
    pub host: String,
    /// Unix time in milliseconds, from the host's clock.
    pub time_ms: u64,
    /// The line from `time=` on.
    pub text: String,
}

impl Line {
    /// Parses a line from the file of `host`, or returns `None` if it isn't a daemon's log line.
    #[must_use]
    pub fn parse(host: &str, line: &str) -> Option<Self> {
        let start = line.find("time=")?;
        let (before, text) = line.split_at(start);
        let host = before.split_whitespace().last().unwrap_or(host);
        let time = text["time=".len()..].split(' ').next()?;
        let (seconds, milliseconds) = time.split_once('.')?;
        let milliseconds: u64 = milliseconds.get(..3)?.parse().ok()?;
        let whole = seconds.parse::<u64>().ok()?.checked_mul(1_000)?;
        let time_ms = whole.checked_add(milliseconds)?;
        Some(Self { host: host.to_owned(), time_ms, text: text.trim_end().to_owned() })
    }

    /// Value of a key outside of `attempts`.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&str> {
        let text = self.text.split(" attempts=[").next().unwrap_or_default();
        value(text, key)
    }

    /// Value of the key `event`.
    #[must_use]
    pub fn event(&self) -> &str {
        self.get("event").unwrap_or_default()
    }

    /// Upstream and result of each attempt in the line.
    pub fn attempts(&self) -> impl Iterator<Item = (&str, &str)> {
        let attempts = self.text.split_once(" attempts=[").map_or("", |it| it.1);
        attempts.split('(').skip(1).filter_map(|it| {
            let it = it.split(')').next()?;
            Some((value(it, "upstream")?, value(it, "result")?))
        })
    }

    /// Upstreams of the attempts in the line.
    pub fn upstreams(&self) -> impl Iterator<Item = &str> {
        self.attempts().map(|it| it.0)
    }
}

impl fmt::Display for Line {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} {}", self.host, self.text)
    }
}

fn value<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    text.split(' ').filter_map(|it| it.split_once('=')).find(|it| it.0 == key).map(|it| it.1)
}
