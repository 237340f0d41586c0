//! Calls between daemons.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpStream},
    time::Duration,
};

use gateway::rpc::{Shared, serve};

/// Daemons of the largest deployment.
const DAEMONS: usize = 300;
/// Time limit for a connection that the kernel accepts at once.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The connections of more than 129 daemons that fetched the same configuration while its reader was
/// busy were not accepted, and their calls timed out.
#[test]
fn simultaneous_connections() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let address = free_address();
    // Between two calls of `block_on` the server does not run, like a busy daemon.
    let server = runtime.block_on(async { serve(Shared::default(), address) }).unwrap();
    let connect = |_| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT);
    let accepted: Vec<_> = (0..DAEMONS).map_while(|it| connect(it).ok()).collect();
    assert_eq!(accepted.len(), DAEMONS);
    server.stop().unwrap();
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap()
}
