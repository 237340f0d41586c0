//! Discovery of the other daemons through seeds and the store.

use std::{rc::Rc, time::Duration};

use super::{CALL_TIMEOUT, call};
use crate::{
    gateway::Gateway,
    platform::{Era, Platform, Result, Topic},
};

/// Time for the seeds to answer before the store is read.
const SEED_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Interval at which the daemon checks whether it must read or register in the store.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Daemons that register in the store. A daemon that finds one of them gets the addresses of all
/// others from it.
const REGISTERED_DAEMONS: u32 = 3;

/// Discovers the other daemons and registers this one, until the task is dropped.
///
/// Daemons send each other the addresses of further ones. So only a daemon that reaches none of its
/// seeds reads the store, and only a few register there.
pub async fn discover<P: Platform>(gateway: Rc<Gateway>, platform: Rc<P>) {
    let own = gateway.settings().peer_address;
    let now = gateway.now();
    for it in &gateway.settings().seeds {
        gateway.peers.borrow_mut().add(now, std::net::SocketAddr::new(it.ip(), own.port()));
    }
    tokio::time::sleep(SEED_TIMEOUT).await;
    loop {
        let (live, position) = {
            let peers = gateway.peers.borrow();
            (peers.live_count(gateway.now()), peers.position(gateway.now()))
        };
        if live == 0 {
            read(&gateway, &*platform).await;
        }
        if position < REGISTERED_DAEMONS && !gateway.is_registered() {
            register(&gateway, &*platform).await;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Removes this daemon from the list of hosts. Does not retry a failure, since peers detect its end
/// themselves.
pub async fn deregister<P: Platform>(gateway: &Gateway, platform: &P) {
    if gateway.registered_in.get().is_some() {
        // The call logs its failure.
        let _result = append(gateway, platform, None).await;
    }
}

async fn register<P: Platform>(gateway: &Gateway, platform: &P) {
    if let Ok(era) = append(gateway, platform, Some(b"entry")).await {
        gateway.registered_in.set(Some(era));
    }
}

async fn append<P: Platform>(gateway: &Gateway, platform: &P, value: Option<&[u8]>) -> Result<Era> {
    let key = gateway.settings().peer_address.to_string();
    let append = platform.append(Topic::Hosts, &key, value);
    let res = call(gateway, "hosts-append", CALL_TIMEOUT, append).await;
    res.inspect_err(|e| log::warn!("event=host-not-written error=\"{e}\""))
}

async fn read<P: Platform>(gateway: &Gateway, platform: &P) {
    let newest = platform.newest(Topic::Hosts);
    match call(gateway, "hosts-newest", CALL_TIMEOUT, newest).await {
        Ok(batch) => {
            let now = gateway.now();
            for it in batch.records.iter().filter_map(|it| it.key.parse().ok()) {
                gateway.peers.borrow_mut().add(now, it);
            }
        }
        Err(e) => log::warn!("event=hosts-not-read error=\"{e}\""),
    }
}
