//! Calls between daemons.

mod heartbeat;

use std::{
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use base64::{Engine, prelude::BASE64_STANDARD};
use clock::System;
use flate2::{Compression, write::DeflateEncoder};
use gateway::{
    Settings,
    gateway::Gateway,
    peer::{Capacity, Heartbeat},
    rpc::{self, Shared},
    wire::{Names, Protocol},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    runtime::Runtime,
};

/// Daemons of the largest deployment.
const DAEMONS: usize = 300;
/// Time limit for a connection that the kernel accepts at once.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Routes of a large configuration.
const ROUTES: usize = 1_400;
/// Size of the largest value of a configuration that is fetched from a peer.
const MAX_VALUE_BYTES: usize = 16 << 20;
/// Bytes that a link of 10 Mbit/s carries in a quarter of the time limit of a call, 500 ms.
const MAX_LARGE_ANSWER_BYTES: usize = 156_250;

fn free_address() -> SocketAddr {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap().local_addr().unwrap()
}

fn runtime() -> Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap()
}

/// A configuration with names that have nothing in common.
fn large_configuration() -> String {
    let mut random = fastrand::Rng::with_seed(1);
    let mut name = || -> String { (0..8).map(|_| random.lowercase()).collect() };
    let route = |_| {
        let (id, prefix, service) = (name(), name(), name());
        format!("[route {id}]\nhost = a.example\nprefix = /{prefix}/\nservice = {service}\n")
            + "idempotent = yes\nattempt_limit = 2\ntimeout = 2500ms\ntarget_latency = 800ms\n"
            + "priority = 2\nhead_limit = 16384\nbody_limit = 1048576\npublic = no\n"
    };
    (0..ROUTES).map(route).collect()
}

/// A daemon that knows one peer, which has a newer configuration.
fn gateway_with_peer(address: SocketAddr) -> Rc<Gateway> {
    let names = Names::default();
    let directory = |_: &[SocketAddr], _: Duration| String::new();
    let protocol = Protocol { names, parse_load: |_| None, directory };
    let gateway = Gateway::new(Settings::default(), Arc::new(System), protocol, 1);
    let capacity = Capacity { link_mbps: 100.0, cpu_cores: 1.0, used_cores: 0.0 };
    let heartbeat = Heartbeat {
        capacity,
        is_active: true,
        config: 9,
        config_checked_ms: Some(0),
        ..heartbeat::usual()
    };
    gateway.peers.borrow_mut().record_heartbeat(gateway.now(), address, heartbeat);
    gateway
}

/// The connections of more than 129 daemons that fetched the same configuration while its reader was
/// busy were not accepted, and their calls timed out.
#[test]
fn simultaneous_connections() {
    let runtime = runtime();
    let address = free_address();
    // Outside `block_on` the server does not run, like a busy daemon.
    let server = runtime.block_on(async { rpc::serve(Shared::default(), address) }).unwrap();
    let connect = |_| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT);
    let accepted: Vec<_> = (0..DAEMONS).map_while(|it| connect(it).ok()).collect();
    assert_eq!(accepted.len(), DAEMONS);
    server.stop().unwrap();
}

/// A large configuration took longer than the time limit of a call over a thin link, so that no peer
/// could be asked for it.
#[test]
fn large_answer() {
    let text = large_configuration();
    let (value, bytes) = runtime().block_on(fetch(&text));
    assert!(value == text, "the peer got another configuration");
    assert!(bytes <= MAX_LARGE_ANSWER_BYTES, "{bytes} bytes for {}", text.len());
}

/// A short answer that decompresses to more than the largest answer took all memory.
#[test]
fn compressed_zeros() {
    let zeros = vec![0; MAX_VALUE_BYTES + 1];
    let fits = compress(&zeros[..MAX_VALUE_BYTES]);
    let fetched = |value| runtime().block_on(fetch_value(value)).map(|it| it.len());
    assert_eq!(fetched(fits), Some(MAX_VALUE_BYTES));
    assert_eq!(fetched(compress(&zeros)), None);
}

fn compress(bytes: &[u8]) -> String {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes).unwrap();
    BASE64_STANDARD.encode(encoder.finish().unwrap())
}

/// Fetches a configuration from a peer that answers with a compressed `value`.
async fn fetch_value(value: String) -> Option<String> {
    let peer = tokio::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let gateway = gateway_with_peer(peer.local_addr().unwrap());
    let (fetched, ()) = tokio::join!(rpc::fetch_config(&gateway), answer(peer, value));
    fetched.map(|(record, _)| record.value)
}

/// Answers one call.
async fn answer(peer: tokio::net::TcpListener, value: String) {
    let (mut caller, _) = peer.accept().await.unwrap();
    let mut message = Vec::new();
    let call: serde_json::Value = loop {
        assert!(caller.read_buf(&mut message).await.unwrap() > 0, "the call is incomplete");
        let text = std::str::from_utf8(&message).unwrap();
        let body = text.split_once("\r\n\r\n").map(|(_, body)| serde_json::from_str(body));
        if let Some(Ok(it)) = body {
            break it;
        }
    };
    let result = serde_json::json!({ "key": "config", "value": value });
    let body = serde_json::json!({ "jsonrpc": "2.0", "id": call["id"], "result": result });
    let body = body.to_string();
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    let text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    caller.write_all(text.as_bytes()).await.unwrap();
}

/// Fetches a configuration from a peer that has it, and counts the bytes on the way.
async fn fetch(text: &str) -> (String, usize) {
    let (peer, relay) = (free_address(), TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap());
    let shared = Shared::default();
    shared.set_config("config", text.as_bytes());
    let _server = rpc::serve(shared, peer).unwrap();
    let gateway = gateway_with_peer(relay.local_addr().unwrap());
    let (fetched, bytes) = tokio::join!(rpc::fetch_config(&gateway), forward(relay, peer));
    (fetched.unwrap().0.value, bytes)
}

/// Forwards one connection; returns the number of bytes of its answers.
async fn forward(relay: TcpListener, peer: SocketAddr) -> usize {
    relay.set_nonblocking(true).unwrap();
    let relay = tokio::net::TcpListener::from_std(relay).unwrap();
    let (mut caller, _) = relay.accept().await.unwrap();
    let mut server = tokio::net::TcpStream::connect(peer).await.unwrap();
    let (_, bytes) = tokio::io::copy_bidirectional(&mut caller, &mut server).await.unwrap();
    usize::try_from(bytes).unwrap()
}
