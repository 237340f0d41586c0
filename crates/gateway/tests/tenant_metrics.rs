//! Requests counted by tenant.

use gateway::{config::TenantId, metrics::Metrics};

/// Each label costs memory for as long as the process runs, and a line of each scrape.
#[test]
fn bounded_labels() {
    let metrics = Metrics::default();
    for number in 0..1_000 {
        let tenant = TenantId::from(format!("t-{number}").as_str());
        metrics.count_tenant(&tenant, 200);
        metrics.count_tenant(&tenant, 401);
    }
    let text = metrics.text();
    let lines: Vec<_> =
        text.lines().filter(|it| it.starts_with("fireflydrum_tenant_requests_total")).collect();
    assert_eq!(lines.len(), 2 * 257);
    let value = |label: &str| {
        let line = lines.iter().find(|it| it.contains(label)).unwrap();
        line.rsplit(' ').next().unwrap().to_owned()
    };
    assert_eq!(value("tenant=\"t-255\",class=\"2\""), "1");
    assert_eq!(value("tenant=\"other\",class=\"4\""), "744");
}
