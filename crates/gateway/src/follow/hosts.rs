//! Finds the other daemons through the store.

use std::{rc::Rc, time::Duration};

use super::{CALL_TIMEOUT, call};
use crate::{
    gateway::Gateway,
    platform::{Platform, Topic},
};

/// Pause before another try to reach the store.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Reads where the other daemons are and writes where this one is. Once one has heard of another,
/// they tell each other of the rest.
pub async fn meet<P: Platform>(gateway: Rc<Gateway>, platform: Rc<P>) {
    let own = gateway.settings().peer_address;
    let now = gateway.now();
    for it in &gateway.settings().seeds {
        gateway.peers.borrow_mut().add(now, std::net::SocketAddr::new(it.ip(), own.port()));
    }
    while !read(&gateway, &*platform).await {
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    let key = own.to_string();
    loop {
        let append = platform.append(Topic::Hosts, &key, Some(b"entry"));
        match call(&gateway, "hosts-append", CALL_TIMEOUT, append).await {
            Ok(()) => return,
            Err(e) => log::warn!("event=host-not-registered error=\"{e}\""),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Takes this daemon out of the list of hosts; one try, since peers notice its end themselves.
pub async fn part<P: Platform>(gateway: &Gateway, platform: &P) {
    let key = gateway.settings().peer_address.to_string();
    let append = platform.append(Topic::Hosts, &key, None);
    if let Err(e) = call(gateway, "hosts-append", CALL_TIMEOUT, append).await {
        log::warn!("event=host-not-removed error=\"{e}\"");
    }
}

async fn read<P: Platform>(gateway: &Gateway, platform: &P) -> bool {
    let newest = platform.newest(Topic::Hosts);
    match call(gateway, "hosts-newest", CALL_TIMEOUT, newest).await {
        Ok(batch) => {
            let now = gateway.now();
            for it in batch.records.iter().filter_map(|it| it.key.parse().ok()) {
                gateway.peers.borrow_mut().add(now, it);
            }
            true
        }
        Err(e) => {
            log::warn!("event=hosts-not-read error=\"{e}\"");
            false
        }
    }
}
