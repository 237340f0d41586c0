//! Lookup of routes by host and longest path prefix.

use gateway::config::{Config, Part, Route, Table};

fn route(id: &str, host: &str, prefix: &str) -> Route {
    let parts = vec![Part { service: "stock".into(), weight: 1 }];
    Route { id: id.into(), host: host.into(), prefix: prefix.into(), parts, ..Route::default() }
}

#[test]
fn longest_prefix() {
    let routes = vec![
        route("all", "a.example", "/"),
        route("stock", "a.example", "/stock/"),
        route("bales", "a.example", "/stock/bales/"),
        route("other", "b.example", "/stock/"),
    ];
    let table = Table::new(Config { version: 1, routes, ..Config::default() });
    let check = |host: &str, path: &str, expected: Option<&str>| {
        let found = table.find(host, path).map(|it| it.id.to_string());
        assert_eq!(found.as_deref(), expected, "{host}{path}");
    };
    check("a.example", "/stock/bales/7", Some("bales"));
    check("a.example", "/stock/bales", Some("stock"));
    check("a.example", "/stock/7?path=/stock/bales/", Some("stock"));
    check("a.example", "/stocks", Some("all"));
    check("A.Example:8080", "/stock/7", Some("stock"));
    check("b.example", "/stock/", Some("other"));
    check("b.example", "/", None);
    check("c.example", "/stock/", None);
    check("", "", None);
}

/// A path of many slashes was looked up at each of them, so that its search took time with the square of
/// its length (`docs/incidents/long_paths.md`).
#[test]
fn long_path() {
    let routes = vec![route("all", "a.example", "/"), route("stock", "a.example", "/stock/")];
    let table = Table::new(Config { version: 1, routes, ..Config::default() });
    let path = "/".repeat(16_000);
    assert_eq!(table.find("a.example", &path).map(|it| &*it.id), Some("all"));
    assert!(table.candidates("a.example", &path).count() <= "/stock/".len());
    assert_eq!(table.candidates("b.example", &path).count(), 0);
}
