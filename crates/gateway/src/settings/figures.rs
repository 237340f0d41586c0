//! Figures of the deployment among the settings.
//!
//! The platform writes them as whole numbers or fractions. One that is missing or odd does not keep a
//! daemon from running: it is replaced, with a finding.

use std::{ops::RangeInclusive, time::Duration};

use ini::{Finding, Keys, Section};

/// Reads figures and collects findings about those that are replaced.
pub(super) struct Figures<'a, 'b> {
    section: &'a Section,
    keys: &'b mut Keys<'a>,
    findings: Vec<Finding>,
}

impl<'a, 'b> Figures<'a, 'b> {
    pub(super) fn new(section: &'a Section, keys: &'b mut Keys<'a>) -> Self {
        Self { section, keys, findings: Vec::new() }
    }

    /// All findings about figures that were replaced.
    pub(super) fn finish(self) -> Vec<Finding> {
        self.findings
    }

    /// Reads a number into `field`; one outside `range` is replaced by the nearest bound. Without a
    /// number, `field` stays as it is.
    pub(super) fn number(&mut self, key: &str, range: RangeInclusive<f64>, field: &mut f64) {
        let default = *field;
        if let Some(it) = self.read(key, parse_number, range, &|it| it.to_string(), default) {
            *field = it;
        }
    }

    /// Reads a number of which only whole ones can be used, rounded down: all of them are limits.
    pub(super) fn whole(&mut self, key: &str, range: RangeInclusive<u32>, field: &mut u64) {
        let limits = f64::from(*range.start())..=f64::from(*range.end());
        // Used only in the text of a finding.
        #[expect(clippy::cast_precision_loss)]
        let default = *field as f64;
        if let Some(it) = self.read(key, parse_number, limits, &|it| it.to_string(), default) {
            // The range is that of `u32`.
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let whole = it as u64;
            *field = whole;
        }
    }

    /// Reads a duration with its unit, `ms` or `s`, into `field`. One outside `range` is replaced by the
    /// nearest bound.
    pub(super) fn duration(
        &mut self,
        key: &str,
        range: &RangeInclusive<Duration>,
        field: &mut Duration,
    ) {
        let limits = range.start().as_secs_f64()..=range.end().as_secs_f64();
        let text = |it: f64| format!("{it} s");
        if let Some(it) = self.read(key, parse_seconds, limits, &text, field.as_secs_f64()) {
            *field = Duration::from_secs_f64(it);
        }
    }

    /// Reads a figure. `text` shows one, and `default` is in force without one.
    fn read(
        &mut self,
        key: &str,
        parse: fn(&str) -> Option<f64>,
        range: RangeInclusive<f64>,
        text: &dyn Fn(f64) -> String,
        default: f64,
    ) -> Option<f64> {
        let value = self.keys.read(key, Ok)?;
        let number = parse(value).filter(|it| !it.is_nan());
        let Some(number) = number else {
            let value = ini::excerpt(value);
            self.replaced(key, &format!("`{value}` is no number, {} is used", text(default)));
            return None;
        };
        let used = number.clamp(*range.start(), *range.end());
        if !range.contains(&number) {
            let (value, used) = (ini::excerpt(value), text(used));
            self.replaced(key, &format!("`{value}` is out of range, {used} is used"));
        }
        Some(used)
    }

    fn replaced(&mut self, key: &str, message: &str) {
        let entry = self.section.entries.iter().find(|it| it.key == key);
        let line = entry.map_or(self.section.line, |it| it.line);
        self.findings.push(self.section.finding(line, format!("{key}: {message}")));
    }
}

fn parse_number(text: &str) -> Option<f64> {
    text.trim().parse().ok()
}

/// Parses a duration in seconds.
fn parse_seconds(text: &str) -> Option<f64> {
    if let Some(it) = text.strip_suffix("ms") {
        return parse_number(it).map(|it| it / 1_000.0);
    }
    parse_number(text.strip_suffix('s')?)
}
