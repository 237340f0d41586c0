//! The sample documents are valid and have the expected sizes.

use document::Document;

const CAIRO: &str = include_str!("../../../samples/cairo.ini");
const ADDIS: &str = include_str!("../../../samples/addis.ini");

struct Expected {
    domains: usize,
    upstreams: &'static [(&'static str, usize)],
    slots: u32,
    connections: u32,
}

fn check(text: &str, expected: &Expected) {
    let document = Document::parse(text).expect("the sample is valid");
    let mut domains: Vec<_> = document.upstreams.iter().map(|it| &it.domain).collect();
    domains.sort();
    domains.dedup();
    assert_eq!(domains.len(), expected.domains);
    for &(service, count) in expected.upstreams {
        let found = document.upstreams.iter().filter(|it| &*it.service == service).count();
        assert_eq!(found, count, "upstreams of {service}");
    }
    assert_eq!(document.services.len(), expected.upstreams.len());
    assert!(document.upstreams.iter().all(|it| it.slots == expected.slots));
    assert!(document.upstreams.iter().all(|it| it.connections == expected.connections));
    assert_eq!(document.ranks.iter().map(|it| it.order).collect::<Vec<_>>(), [0, 1, 2]);
    assert!(document.ranks.iter().all(|it| it.floor_percent > 0));
}

#[test]
fn cairo_sizes() {
    let upstreams = &[("stock", 15), ("booking", 8), ("documents", 8)];
    check(CAIRO, &Expected { domains: 4, upstreams, slots: 6, connections: 220 });
}

#[test]
fn addis_sizes() {
    let upstreams = &[("lookup", 20), ("booking", 9), ("custom", 6)];
    check(ADDIS, &Expected { domains: 3, upstreams, slots: 4, connections: 260 });
    let document = Document::parse(ADDIS).expect("the sample is valid");
    assert!(document.services.iter().all(|it| it.probe_budget_per_s == 0.0));
}
