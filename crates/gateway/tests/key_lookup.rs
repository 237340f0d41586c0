//! Lookup of tenants by their keys.

use gateway::config::{Config, KeyDigest, Table, Tenant};
use quickcheck::quickcheck;

fn tenant(id: &str, keys: &[&[u8]]) -> Tenant {
    Tenant {
        id: id.into(),
        keys: keys.iter().map(|it| KeyDigest::new(it)).collect(),
        priority: None,
        rate_per_s: 0.0,
        burst: 0.0,
    }
}

fn table(tenants: Option<Vec<Tenant>>) -> Table {
    Table::new(Config { version: 1, tenants, ..Config::default() })
}

fn holder(table: &Table, key: &[u8]) -> Option<String> {
    table.tenant(key).map(|it| it.id.to_string())
}

/// Each of many keys must lead to its own tenant, and no other text to any.
#[test]
fn many_keys() {
    let key = |it: usize| format!("key-{it}");
    let tenants = (0..300).map(|it| {
        let keys = [key(it * 10), key(it * 10 + 1)];
        tenant(&it.to_string(), &[keys[0].as_bytes(), keys[1].as_bytes()])
    });
    let table = table(Some(tenants.collect()));
    for it in 0..300 {
        for number in [it * 10, it * 10 + 1] {
            assert_eq!(holder(&table, key(number).as_bytes()), Some(it.to_string()), "{number}");
        }
        assert_eq!(holder(&table, key(it * 10 + 2).as_bytes()), None);
    }
    for other in ["", "key-", "KEY-10", "key-10 ", " key-10", "key-10,key-11", "key-1"] {
        let expected = (other == "key-1").then(|| "0".to_owned());
        assert_eq!(holder(&table, other.as_bytes()), expected, "{other}");
    }
}

/// A key at two tenants would make it depend on chance whose request it is.
#[test]
fn repeated_key() {
    let tenants = vec![tenant("a", &[b"one"]), tenant("b", &[b"one", b"two"]), tenant("c", &[])];
    let table = table(Some(tenants));
    assert_eq!(holder(&table, b"one").as_deref(), Some("a"));
    assert_eq!(holder(&table, b"two").as_deref(), Some("b"));
}

/// An empty list of tenants withdraws every key; without a list, no key is needed.
#[test]
fn no_tenants() {
    assert!(table(Some(Vec::new())).has_tenants());
    assert!(!table(None).has_tenants());
    assert_eq!(holder(&table(None), b"one"), None);
}

/// A dump of a configuration must not show keys, nor digests from which short keys can be found.
#[test]
fn dumps() {
    let config = Config { tenants: Some(vec![tenant("a", &[b"s3cret"])]), ..Config::default() };
    // The first bytes of the SHA-256 digest of the key, as a dump of an array shows them.
    let digest = "30, 193, 194";
    let text = format!("{config:?} {:?}", Table::new(config.clone()));
    assert!(!text.contains("s3cret"), "{text}");
    assert!(text.contains("KeyDigest"), "{text}");
    assert!(!text.contains(digest), "{text}");
}

quickcheck! {
    fn only_own_keys(keys: Vec<Vec<u8>>, other: Vec<u8>) -> bool {
        let own: Vec<&[u8]> = keys.iter().map(Vec::as_slice).collect();
        let table = table(Some(vec![tenant("a", &own)]));
        own.iter().all(|it| table.tenant(it).is_some())
            && table.tenant(&other).is_some() == keys.contains(&other)
    }
}
