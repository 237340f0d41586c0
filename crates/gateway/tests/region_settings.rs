//! Settings of regions, slow start and quotas.

use std::time::Duration;

use gateway::Settings;

const TEXT: &str = "[gateway]\nhost = h\ndomain = d\ncaller_address = 127.0.0.1:1\n\
    ready_address = 127.0.0.1:2\ndirectory_address = 127.0.0.1:3\npeer_address = 127.0.0.1:4\n\
    metrics_address = 127.0.0.1:5\nstore_address = 127.0.0.1:6\n";

/// A deployment whose settings name none of them keeps the defaults.
#[test]
fn absent_settings() {
    let settings = Settings::parse(TEXT).unwrap();
    assert!(settings.regions.is_empty());
    assert_eq!(settings.quota_window, Duration::from_secs(5));
}

#[test]
fn given_settings() {
    let text = format!("{TEXT}regions = a:r1, b:r2\nquota_window = 3s\nslow_start_slack = 4\n");
    let settings = Settings::parse(&text).unwrap();
    assert_eq!(settings.regions.get("b").map(|it| &**it), Some("r2"));
    assert_eq!(settings.quota_window, Duration::from_secs(3));
    assert_eq!(settings.slow_start_slack.to_bits(), 4.0_f64.to_bits());
}

/// A list without a region of a domain must not be accepted in part.
#[test]
fn bad_regions() {
    let findings = Settings::parse(&format!("{TEXT}regions = a:r1, b\n")).unwrap_err();
    assert!(findings[0].to_string().contains("`b` is no `domain:region`"), "{findings:?}");
}
