//! A backend server answers without a length before it has read the request, and its connection is
//! reset in the middle: the part must not count as the whole answer.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use daemon::upstream::connection::Connection;
use http_body_util::{BodyExt, Full};

/// Requests sent one after the other. The order of reset, write and read differs between them.
const REQUESTS: usize = 24;
/// Size of a request: more than the sockets' buffers hold.
const REQUEST_BYTES: usize = 8 << 20;
/// Size of the part of the answer that is sent.
const SENT_BYTES: usize = 1_000;

/// Starts a server that sends a part of its answer and resets the connection.
fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut start = [0; 16];
            stream.read_exact(&mut start).expect("the start of a request");
            stream.write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n").expect("a head");
            stream.write_all(&[b'x'; SENT_BYTES]).expect("a part of the body");
            thread::sleep(Duration::from_millis(50));
            // Closing a socket with unread bytes resets the connection.
        }
    });
    address
}

#[tokio::test]
async fn reset_answers() {
    let address = start();
    let mut begun = 0;
    for number in 0..REQUESTS {
        let mut connection = Connection::open(address, Instant::now()).await.expect("it connects");
        let mut req = hyper::Request::new(Full::new(Bytes::from(vec![b'c'; REQUEST_BYTES])));
        *req.method_mut() = hyper::Method::POST;
        if let Ok(it) = connection.send(req).await {
            begun += 1;
            let body = it.into_body().collect().await;
            assert!(body.is_err(), "request {number}: a part counts as the whole answer");
        }
    }
    assert!(begun > 0, "no answer has begun");
}
