//! Parses a scenario from INI and reports all findings with their lines.

use super::{
    ini::{Finding, Section, finding, sections},
    scenario::{Bounds, Distribution, Fault, FaultKind, Flood, Noise, Rank, Scenario},
};

/// A scenario, or all errors in its file.
pub(crate) type Result<T, E = Vec<Finding>> = std::result::Result<T, E>;

const MS_RANGE: (f64, f64) = (0.0, 3_600_000.0);
const POSITIVE_MS_RANGE: (f64, f64) = (0.001, 3_600_000.0);
const FACTOR_RANGE: (f64, f64) = (1.0, 10_000.0);
const SINGLE_SECTIONS: [&str; 8] =
    ["scenario", "network", "service", "reports", "probes", "peers", "noise", "bounds"];

const NAMED_SECTIONS: [&str; 3] = ["rank", "fault", "flood"];

/// A flood whose rank has not been looked up yet.
struct NamedFlood {
    rank: String,
    line: u32,
    flood: Flood,
}

pub(crate) fn parse(text: &str) -> Result<Scenario> {
    let mut findings = Vec::new();
    let mut res = Scenario::default();
    let mut floods = Vec::new();
    let mut fault_lines = Vec::new();
    let mut seen: Vec<String> = Vec::new();
    for mut section in sections(text, &mut findings) {
        let is_single = SINGLE_SECTIONS.contains(&section.kind.as_str());
        let header = format!("{} {}", section.kind, section.name);
        if seen.contains(&header) {
            findings.push(finding(section.line, format!("[{}] is repeated", header.trim())));
        }
        let is_known = is_single || NAMED_SECTIONS.contains(&section.kind.as_str());
        if is_known && is_single != section.name.is_empty() {
            let message = format!("[{}] must{} have a name", section.kind, not_if(is_single));
            findings.push(finding(section.line, message));
        }
        seen.push(header);
        match section.kind.as_str() {
            "scenario" => scenario(&mut section, &mut res, &mut findings),
            "network" => network(&mut section, &mut res, &mut findings),
            "service" => service(&mut section, &mut res, &mut findings),
            "reports" => reports(&mut section, &mut res, &mut findings),
            "probes" => probes(&mut section, &mut res, &mut findings),
            "peers" => {
                section.number("period_ms", MS_RANGE, &mut res.digest_period_ms, &mut findings);
            }
            "noise" => noise(&mut section, &mut res.noise, &mut findings),
            "bounds" => bounds(&mut section, &mut res.bounds, &mut findings),
            "rank" => res.ranks.push(rank(&mut section, &mut findings)),
            "fault" => {
                fault_lines.push(section.line);
                res.faults.push(fault(&mut section, &mut findings));
            }
            "flood" => floods.push(flood(&mut section, &mut findings)),
            other => {
                findings.push(finding(section.line, format!("[{other}] is not a section")));
                continue;
            }
        }
        section.finish(&mut findings);
    }
    check_faults(&res, &fault_lines, &mut findings);
    resolve(&mut res, floods, &mut findings);
    findings.sort();
    if findings.is_empty() { Ok(res) } else { Err(findings) }
}

fn not_if(it: bool) -> &'static str {
    if it { " not" } else { "" }
}

fn scenario(it: &mut Section, res: &mut Scenario, findings: &mut Vec<Finding>) {
    if let Some(name) = it.take("name", "a name", |it: &String| !it.is_empty(), findings) {
        res.name = name;
    }
    it.number("duration_s", (0.1, 3600.0), &mut res.duration_s, findings);
    it.number("warm_up_s", (0.0, 3600.0), &mut res.warm_up_s, findings);
    it.number("seeds", (1, 1000), &mut res.seeds, findings);
    it.number("hosts", (1, 100), &mut res.hosts, findings);
    it.number("load_percent", (0.1, 1000.0), &mut res.load_percent, findings);
    it.number("callers", (1, 1_000_000), &mut res.callers, findings);
}

fn network(it: &mut Section, res: &mut Scenario, findings: &mut Vec<Finding>) {
    it.number("domains", (1, 100), &mut res.domains, findings);
    it.number("same_domain_ms", MS_RANGE, &mut res.same_domain_ms, findings);
    it.number("between_domains_ms", MS_RANGE, &mut res.between_domains_ms, findings);
    it.number("host_list_lag_ms", MS_RANGE, &mut res.host_list_lag_ms, findings);
}

fn service(it: &mut Section, res: &mut Scenario, findings: &mut Vec<Finding>) {
    it.number("upstreams", (1, 10_000), &mut res.upstreams, findings);
    it.number("slots", (1, 10_000), &mut res.slots, findings);
    it.number("service_ms", POSITIVE_MS_RANGE, &mut res.service_ms, findings);
    let mut sigma = 0.6;
    it.number("sigma", (0.0, 3.0), &mut sigma, findings);
    let expected = "fixed, exponential or lognormal";
    let known = |it: &String| ["fixed", "exponential", "lognormal"].contains(&it.as_str());
    let distribution = it.take("distribution", expected, known, findings);
    res.distribution = match distribution.as_deref() {
        Some("fixed") => Distribution::Fixed,
        Some("exponential") => Distribution::Exponential,
        _ => Distribution::LogNormal(sigma),
    };
}

fn reports(it: &mut Section, res: &mut Scenario, findings: &mut Vec<Finding>) {
    it.number("period_ms", MS_RANGE, &mut res.report_period_ms, findings);
    if let Some(on) = it.take("on_answers", "true or false", |_: &bool| true, findings) {
        res.reports_on_answers = on;
    }
}

fn probes(it: &mut Section, res: &mut Scenario, findings: &mut Vec<Finding>) {
    it.number("budget_per_s", (0.0, 1e6), &mut res.probe_budget_per_s, findings);
    it.number("cost_ms", MS_RANGE, &mut res.probe_cost_ms, findings);
}

fn noise(it: &mut Section, res: &mut Noise, findings: &mut Vec<Finding>) {
    let line = it.line;
    it.number("every_ms", MS_RANGE, &mut res.every_ms, findings);
    it.number("shortest_ms", POSITIVE_MS_RANGE, &mut res.shortest_ms, findings);
    it.number("longest_ms", POSITIVE_MS_RANGE, &mut res.longest_ms, findings);
    it.number("least_factor", FACTOR_RANGE, &mut res.least_factor, findings);
    it.number("greatest_factor", FACTOR_RANGE, &mut res.greatest_factor, findings);
    if res.shortest_ms > res.longest_ms || res.least_factor > res.greatest_factor {
        let message = "the least value must not exceed the greatest".to_owned();
        findings.push(finding(line, message));
    }
}

fn bounds(it: &mut Section, res: &mut Bounds, findings: &mut Vec<Finding>) {
    let positive = |it: &f64| it.is_finite() && *it > 0.0;
    let mut take = |key| it.take(key, "a number above 0", positive, findings);
    res.p99_vs_oracle = take("p99_vs_oracle_at_most");
    res.p99_vs_best_baseline = take("p99_vs_best_baseline_at_most");
    res.urgent_in_flood = take("urgent_in_flood_at_least");
    res.floor_kept = take("floor_kept_at_least");
}

fn rank(it: &mut Section, findings: &mut Vec<Finding>) -> Rank {
    let name = it.name.clone();
    let mut res =
        Rank { name, order: 0, floor_percent: 0, share_percent: 100.0, deadline_ms: 1000.0 };
    it.number("order", (0, 255), &mut res.order, findings);
    it.number("floor_percent", (0, 100), &mut res.floor_percent, findings);
    it.number("share_percent", (0.0, 100.0), &mut res.share_percent, findings);
    it.number("deadline_ms", POSITIVE_MS_RANGE, &mut res.deadline_ms, findings);
    res
}

fn fault(it: &mut Section, findings: &mut Vec<Finding>) -> Fault {
    let mut res = Fault { kind: FaultKind::Slow, upstream: 0, at_s: 0.0, for_s: 1e9, factor: 10.0 };
    let expected = "slow, cold, fail_fast or drain";
    let kind = |it: &str| match it {
        "slow" => Some(FaultKind::Slow),
        "cold" => Some(FaultKind::Cold),
        "fail_fast" => Some(FaultKind::FailFast),
        "drain" => Some(FaultKind::Drain),
        _ => None,
    };
    match it.take("kind", expected, |it: &String| kind(it).is_some(), findings) {
        Some(name) => res.kind = kind(&name).unwrap_or(res.kind),
        None => findings.push(finding(it.line, format!("kind is required: {expected}"))),
    }
    it.number("upstream", (0, 9_999), &mut res.upstream, findings);
    it.number("at_s", (0.0, 3600.0), &mut res.at_s, findings);
    it.number("for_s", (0.0, 3600.0), &mut res.for_s, findings);
    it.number("factor", FACTOR_RANGE, &mut res.factor, findings);
    res
}

fn flood(it: &mut Section, findings: &mut Vec<Finding>) -> NamedFlood {
    let mut flood = Flood { rank: 0, at_s: 0.0, for_s: 1e9, factor: 10.0 };
    let rank = it.take("rank", "the name of a rank", |it: &String| !it.is_empty(), findings);
    it.number("at_s", (0.0, 3600.0), &mut flood.at_s, findings);
    it.number("for_s", (0.0, 3600.0), &mut flood.for_s, findings);
    it.number("factor", FACTOR_RANGE, &mut flood.factor, findings);
    NamedFlood { rank: rank.unwrap_or_default(), line: it.line, flood }
}

/// Checks that the upstreams of faults exist.
fn check_faults(res: &Scenario, lines: &[u32], findings: &mut Vec<Finding>) {
    for (fault, line) in res.faults.iter().zip(lines) {
        if fault.upstream >= res.upstreams {
            let message =
                format!("upstream {} must be less than {}", fault.upstream, res.upstreams);
            findings.push(finding(*line, message));
        }
    }
}

/// Checks rules across sections, and looks up the ranks of floods.
fn resolve(res: &mut Scenario, floods: Vec<NamedFlood>, findings: &mut Vec<Finding>) {
    if res.ranks.is_empty() {
        findings.push(finding(0, "at least one [rank NAME] is required".to_owned()));
    }
    let sum: u32 = res.ranks.iter().map(|it| u32::from(it.floor_percent)).sum();
    if sum > 100 {
        findings.push(finding(0, format!("the floors add up to {sum} percent, which exceeds 100")));
    }
    if res.warm_up_s >= res.duration_s {
        findings.push(finding(0, "warm_up_s must be less than duration_s".to_owned()));
    }
    for NamedFlood { rank, line, flood } in floods {
        match res.ranks.iter().position(|it| it.name == rank) {
            Some(rank) => res.floods.push(Flood { rank, ..flood }),
            None => findings.push(finding(line, format!("'{rank}' is not a rank"))),
        }
    }
}
