//! The configuration is read even if a page of the log exceeds the limit of an answer.

use std::{
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use bytes::Bytes;
use daemon::{
    Settings,
    configuration::{Follower, NoPeers},
    state::State,
};
use fleet::{Fleet, await_condition};

/// Number of foreign records before the document.
const RECORDS: usize = 40;
/// Size of each in bytes.
const RECORD_BYTES: usize = 8 << 10;
/// Maximum size of an answer in bytes.
const ANSWER_LIMIT_BYTES: u64 = 64 << 10;

#[test]
fn oversized_page() {
    let settings = fleet::Settings { daemons: 0, ..fleet::Settings::default() };
    let mut fleet = Fleet::start_standins(settings).expect("stand-ins start");
    for _foreign in 0..RECORDS {
        let record = Bytes::from(vec![b'x'; RECORD_BYTES]);
        let _offset = fleet.log.inject(document::publication::STREAM, record);
    }
    let version = fleet.publish(&fleet.document()).expect("publishes");

    let state = Arc::new(State::new(Settings::default(), Arc::new(clock::System), 1));
    let limits = platform::Settings {
        answer_limit_bytes: ANSWER_LIMIT_BYTES,
        ..platform::Settings::default()
    };
    let log = platform::Http::new(fleet.log.address(), limits);
    let follower = Follower::new(Arc::clone(&state), Box::new(log), Box::new(NoPeers));
    let stop: &'static AtomicBool = Box::leak(Box::default());
    std::thread::spawn(move || follower.run(stop));
    let in_force = || state.table().version == Some(version);
    await_condition(Duration::from_secs(20), "in force", in_force)
        .expect("is read in smaller pages");
}
