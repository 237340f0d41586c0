//! Finds the other daemons through the store.

use std::{rc::Rc, time::Duration};

use super::{CALL_TIMEOUT, call};
use crate::{
    gateway::Gateway,
    platform::{Platform, Topic},
};

/// Time for the seeds to answer before the store is asked.
const SEED_TIME: Duration = Duration::from_millis(1_200);
/// How often it is looked whether this daemon must be found through the store.
const LOOK_INTERVAL: Duration = Duration::from_secs(5);
/// Daemons that register in the store. Whoever finds one of them hears of all others from it.
const REGISTERED: u32 = 3;

/// Finds the other daemons and lets them find this one, until the task is dropped.
///
/// Daemons that know one another tell each other of the rest, so the store is read only by those
/// that find nobody at their seeds, and holds only a few.
pub async fn meet<P: Platform>(gateway: Rc<Gateway>, platform: Rc<P>) {
    let own = gateway.settings().peer_address;
    let now = gateway.now();
    for it in &gateway.settings().seeds {
        gateway.peers.borrow_mut().add(now, std::net::SocketAddr::new(it.ip(), own.port()));
    }
    tokio::time::sleep(SEED_TIME).await;
    loop {
        let (live, place) = {
            let peers = gateway.peers.borrow();
            (peers.live_count(gateway.now()), peers.rank(gateway.now()))
        };
        if live == 0 {
            read(&gateway, &*platform).await;
        }
        if place < REGISTERED && !gateway.is_registered.get() {
            register(&gateway, &*platform).await;
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

/// Takes this daemon out of the list of hosts; one try, since peers notice its end themselves.
pub async fn part<P: Platform>(gateway: &Gateway, platform: &P) {
    if gateway.is_registered.get() {
        append(gateway, platform, None).await;
    }
}

async fn register<P: Platform>(gateway: &Gateway, platform: &P) {
    let is_done = append(gateway, platform, Some(b"entry")).await;
    gateway.is_registered.set(is_done);
}

async fn append<P: Platform>(gateway: &Gateway, platform: &P, value: Option<&[u8]>) -> bool {
    let key = gateway.settings().peer_address.to_string();
    let append = platform.append(Topic::Hosts, &key, value);
    let res = call(gateway, "hosts-append", CALL_TIMEOUT, append).await;
    res.inspect_err(|e| log::warn!("event=host-not-written error=\"{e}\"")).is_ok()
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
