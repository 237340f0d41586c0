//! Lookup of upstreams by id and by the hash used in datagrams.

use gateway::registry::{Index, UpstreamId, key};

/// Finds two ids with equal hashes by search.
fn colliding_ids() -> (UpstreamId, UpstreamId) {
    let mut seen = std::collections::HashMap::new();
    for number in 0_u32.. {
        let id = UpstreamId::from(format!("i-{number:x}"));
        if let Some(other) = seen.insert(key(&id), id.clone()) {
            return (other, id);
        }
    }
    unreachable!("there are more ids than hashes");
}

/// The ids of two upstreams have the same hash. Removing one must not affect the other.
#[test]
fn equal_hashes() {
    let (one, other) = colliding_ids();
    let mut index = Index::default();
    index.insert(&one, &"stock".into());
    index.insert(&other, &"orders".into());
    assert_eq!(index.remove(&one).as_deref(), Some("stock"), "it is removed from its own service");
    assert_eq!(index.service(&other).map(|it| &**it), Some("orders"));
    assert_eq!(index.find(key(&other)).map(|it| &**it.0), Some(&*other));
    assert_eq!(index.remove(&other).as_deref(), Some("orders"));
    assert_eq!(index.find(key(&other)), None);
}

/// An upstream registers again under another service.
#[test]
fn moved_upstream() {
    let mut index = Index::default();
    let id = UpstreamId::from("i-1");
    assert_eq!(index.insert(&id, &"stock".into()), None);
    assert_eq!(index.insert(&id, &"orders".into()).as_deref(), Some("stock"));
    assert_eq!(index.find(key(&id)).map(|it| &**it.1), Some("orders"));
}
