//! Parses the keys of one section and collects the findings.

use std::{fmt::Display, net::SocketAddr, ops::RangeInclusive, str::FromStr, time::Duration};

use crate::{Finding, Section, excerpt};

/// Maximum number of distinct keys in a section.
const MAX_KEYS: usize = 64;
/// Number of findings after which the rest of a section is skipped.
const MAX_FINDINGS: usize = 1_000;

/// The keys of one section.
///
/// Each accessor returns `None` if the key is absent, and also if its value is invalid, which adds a
/// finding. The section is valid only if [`Keys::finish`] returns no findings.
pub struct Keys<'a> {
    section: &'a Section,
    entries: Vec<Entry<'a>>,
    findings: Vec<Finding>,
}

struct Entry<'a> {
    key: &'a str,
    value: &'a str,
    line: u32,
    is_read: bool,
}

impl<'a> Keys<'a> {
    /// Creates the keys of `section`, all of them unread.
    #[must_use]
    pub fn new(section: &'a Section) -> Self {
        let mut keys = Self { section, entries: Vec::new(), findings: Vec::new() };
        for it in &section.entries {
            if keys.findings.len() > MAX_FINDINGS {
                break;
            }
            keys.push_entry(Entry {
                key: &it.key,
                value: &it.value,
                line: it.line,
                is_read: false,
            });
        }
        keys
    }

    fn push_entry(&mut self, entry: Entry<'a>) {
        if let Some(first) = self.entries.iter().find(|it| it.key == entry.key) {
            let message =
                format!("key `{}` stands twice, first on line {}", excerpt(entry.key), first.line);
            return self.push_finding(entry.line, message);
        }
        if self.entries.len() == MAX_KEYS {
            return self.push_finding(entry.line, format!("more than {MAX_KEYS} keys"));
        }
        self.entries.push(entry);
    }

    /// Adds a finding for each of `keys` that is absent.
    pub fn require(&mut self, keys: &[&str]) {
        for key in keys {
            if !self.entries.iter().any(|it| it.key == *key) {
                self.push_finding(self.section.line, format!("missing key `{key}`"));
            }
        }
    }

    /// Reads a non-empty text.
    pub fn text(&mut self, key: &str) -> Option<&'a str> {
        self.read(key, |value| match value {
            "" => Err("is empty".to_owned()),
            _ => Ok(value),
        })
    }

    /// Reads `yes` or `no`.
    pub fn flag(&mut self, key: &str) -> Option<bool> {
        self.read(key, |value| match value {
            "yes" => Ok(true),
            "no" => Ok(false),
            _ => Err(format!("`{}` is neither `yes` nor `no`", excerpt(value))),
        })
    }

    /// Reads one of `words`.
    pub fn one_of(&mut self, key: &str, words: &[&str]) -> Option<&'a str> {
        self.read(key, |value| {
            let is_known = words.contains(&value);
            let message = || format!("`{}` is none of {}", excerpt(value), words.join(", "));
            is_known.then_some(value).ok_or_else(message)
        })
    }

    /// Reads the path of an HTTP request, without query.
    pub fn path(&mut self, key: &str) -> Option<&'a str> {
        self.read(key, |value| {
            let is_path = value.starts_with('/')
                && value.bytes().all(|it| it.is_ascii_graphic() && !matches!(it, b'?' | b'#'));
            let message = || {
                let value = excerpt(value);
                format!("`{value}` is no path: starts with `/`, without blanks, `?` and `#`")
            };
            is_path.then_some(value).ok_or_else(message)
        })
    }

    /// Reads an IP address with a port other than 0.
    pub fn address(&mut self, key: &str) -> Option<SocketAddr> {
        self.read(key, |value| {
            let address = value.parse().ok().filter(|it: &SocketAddr| it.port() != 0);
            address.ok_or_else(|| {
                let value = excerpt(value);
                format!("`{value}` is no address: IP number and port, as in 10.0.0.1:8080")
            })
        })
    }

    /// Reads a number within `range`; `unit` appears in the finding.
    pub fn number<T>(&mut self, key: &str, range: RangeInclusive<T>, unit: &str) -> Option<T>
    where
        T: Display + FromStr + PartialOrd,
    {
        self.read(key, |value| {
            let number = value.parse().ok().filter(|it| range.contains(it));
            number.ok_or_else(|| out_of_range(value, range.start(), range.end(), unit))
        })
    }

    /// Reads a duration with its unit, `ms` or `s`.
    pub fn duration(&mut self, key: &str, range: RangeInclusive<Duration>) -> Option<Duration> {
        self.read(key, |value| {
            let duration = parse_duration(value).filter(|it| range.contains(it));
            duration.ok_or_else(|| {
                let (low, high) = (range.start().as_millis(), range.end().as_millis());
                out_of_range(value, &low, &high, "ms, written as in `250ms` or `2s`")
            })
        })
    }

    /// Reads a size in bytes, or with the unit `KiB` or `MiB`.
    pub fn size(&mut self, key: &str, range: RangeInclusive<u64>) -> Option<u64> {
        self.read(key, |value| {
            let size = parse_size(value).filter(|it| range.contains(it));
            size.ok_or_else(|| {
                let unit = "bytes, written as in `65536`, `64KiB` or `1MiB`";
                out_of_range(value, range.start(), range.end(), unit)
            })
        })
    }

    /// Returns all findings, ordered by line, with one for each key that was not read.
    #[must_use]
    pub fn finish(mut self) -> Vec<Finding> {
        for entry in std::mem::take(&mut self.entries) {
            if !entry.is_read {
                let message = format!("unknown key `{}`", excerpt(entry.key));
                self.push_finding(entry.line, message);
            }
        }
        self.findings.sort_by_key(|it| it.line);
        self.findings
    }

    /// Reads a value with `parse`, whose error describes the expected value.
    pub fn read<T>(
        &mut self,
        key: &str,
        parse: impl FnOnce(&'a str) -> Result<T, String>,
    ) -> Option<T> {
        let entry = self.entries.iter_mut().find(|it| it.key == key)?;
        entry.is_read = true;
        let (value, line) = (entry.value, entry.line);
        parse(value).map_err(|message| self.push_finding(line, format!("{key}: {message}"))).ok()
    }

    fn push_finding(&mut self, line: u32, message: String) {
        self.findings.push(self.section.finding(line, message));
    }
}

fn out_of_range(value: &str, low: &dyn Display, high: &dyn Display, unit: &str) -> String {
    format!("`{}` is not from {low} to {high} {unit}", excerpt(value))
}

fn parse_duration(value: &str) -> Option<Duration> {
    if let Some(number) = value.strip_suffix("ms") {
        return number.trim_end().parse().ok().map(Duration::from_millis);
    }
    value.strip_suffix('s')?.trim_end().parse().ok().map(Duration::from_secs)
}

fn parse_size(value: &str) -> Option<u64> {
    let units = [("KiB", 1 << 10), ("MiB", 1 << 20)];
    let unit = units.iter().find_map(|(unit, factor)| Some((value.strip_suffix(unit)?, *factor)));
    let (number, factor) = unit.unwrap_or((value, 1));
    number.trim_end().parse::<u64>().ok()?.checked_mul(factor)
}
