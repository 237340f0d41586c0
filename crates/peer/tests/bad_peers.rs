//! Wrong tokens, malformed and oversized messages, peers that don't answer.

mod daemon;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};

use daemon::{Daemon, Order, TOKEN, client, exchange, listen, start};
use peer::{Blob, Client, Error, Settings, StartError};

/// Sends a raw HTTP request. Returns status and body after the server has closed the connection.
fn raw(address: SocketAddr, headers: &str, body: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(address).unwrap();
    let length = body.len();
    write!(
        stream,
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\n\
         {headers}content-length: {length}\r\n\r\n{body}"
    )
    .unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    let status = answer.split(' ').nth(1).unwrap().parse().unwrap();
    (status, answer.split_once("\r\n\r\n").unwrap().1.to_owned())
}

#[tokio::test]
async fn wrong_token() {
    let (server, daemon) = start(Daemon::default(), Settings::default());
    for token in ["", "a secret of the fleeT", "a secret of the flee", "a secret of the fleet!"] {
        let client = Client::new(token.to_owned(), Settings::default());
        let res = client.heartbeat(server.address(), &exchange(1)).await;
        assert_eq!(res, Err(Error::Unauthorized), "{token:?}");
        let order = Order { key: String::new(), body: Blob::default(), work_ms: 0 };
        let timeout = Duration::from_secs(5);
        let res = client.forward::<_, Order>(server.address(), &order, timeout).await;
        assert_eq!(res, Err(Error::Unauthorized), "{token:?}");
    }
    assert_eq!(daemon.started.load(Ordering::Acquire), 0);
}

/// A request without a token is refused, and its connection is closed at once.
#[tokio::test(flavor = "multi_thread")]
async fn no_token() {
    let settings = Settings::default();
    let res = listen("", settings, Arc::new(Daemon::default()));
    assert!(matches!(res, Err(StartError::EmptyToken)));
    let (server, _) = start(Daemon::default(), settings);
    let status = tokio::task::block_in_place(|| raw(server.address(), "", "{}").0);
    assert_eq!(status, 401);
}

/// A connection without a request is closed after the timeout.
#[tokio::test(flavor = "multi_thread")]
async fn silent_client() {
    let settings =
        Settings { first_request_timeout: Duration::from_millis(50), ..Settings::default() };
    let (server, _) = start(Daemon::default(), settings);
    let mut stream = TcpStream::connect(server.address()).unwrap();
    let read = tokio::task::block_in_place(|| stream.read(&mut [0; 8]));
    assert!(!matches!(read, Ok(1..)), "{read:?}");
}

/// Each malformed message gets an error with the cause, and the server keeps serving.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_messages() {
    let (server, _) = start(Daemon::default(), Settings::default());
    let headers = format!("connection: close\r\nfireflydrum-token: {TOKEN}\r\n");
    for (body, code, part) in [
        ("not json", -32_700, "Parse error"),
        ("[]", -32_005, "Batched requests"),
        (r#"{"jsonrpc":"2.0","id":1,"method":"halt","params":[]}"#, -32_601, "Method not found"),
        (
            r#"{"jsonrpc":"2.0","id":1,"method":"heartbeat","params":[]}"#,
            -32_602,
            "invalid length 0",
        ),
        (r#"{"jsonrpc":"2.0","id":1,"method":"heartbeat","params":[{}]}"#, -32_602, "digest"),
        (r#"{"jsonrpc":"2.0","id":1,"method":"configuration","params":[-1]}"#, -32_602, "-1"),
        (r#"{"jsonrpc":"2.0","id":1,"method":"forward","params":[{"key":1}]}"#, -32_602, "string"),
    ] {
        let address = server.address();
        let answer = tokio::task::block_in_place(|| raw(address, &headers, body)).1;
        let has_code = answer.contains(&format!(r#""code":{code},"#));
        assert!(has_code && answer.contains(part), "{body}: {answer}");
    }
    assert_eq!(client().heartbeat(server.address(), &exchange(1)).await, Ok(exchange(2)));
}

/// A heartbeat that the membership refuses gets an error code of its own.
#[tokio::test]
async fn refused_heartbeat() {
    let (server, _) = start(Daemon::default(), Settings::default());
    let mut bad = exchange(1);
    bad.digest.identity.domain = "d".repeat(1_000).into();
    let res = client().heartbeat(server.address(), &bad).await;
    let Err(Error::Refused { code, message }) = res else { panic!("{res:?}") };
    assert_eq!((code, message.contains("length 1000, limit 128")), (-32_001, true), "{message}");
}

#[tokio::test]
async fn oversized_messages() {
    let settings = Settings { request_limit_bytes: 2_000, ..Settings::default() };
    let (server, daemon) = start(Daemon::default(), settings);
    let order = Order { key: String::new(), body: Blob(vec![0; 3_000].into()), work_ms: 0 };
    let timeout = Duration::from_secs(5);
    let res = client().forward::<_, Order>(server.address(), &order, timeout).await;
    assert!(matches!(res, Err(Error::Refused { .. } | Error::NoAnswer(_))), "{res:?}");

    let settings = Settings { answer_limit_bytes: 2_000, ..Settings::default() };
    let big = Daemon { snapshot: vec![0; 3_000].into(), ..Daemon::default() };
    let (big, _) = start(big, Settings::default());
    let client = Client::new(TOKEN.to_owned(), settings);
    assert!(matches!(client.configuration(big.address(), 0).await, Err(Error::NoAnswer(_))));
    assert_eq!(daemon.started.load(Ordering::Acquire), 0);
}

/// A call to a peer that never answers, or answers with garbage, fails within the timeout.
#[tokio::test(flavor = "multi_thread")]
async fn silent_peer() {
    for answer in [None, Some("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc"), Some("?")] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (done, wait) = std::sync::mpsc::channel::<()>();
        let peer = thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let _ = stream.read(&mut [0; 1_024]);
            stream.write_all(answer.unwrap_or_default().as_bytes()).unwrap();
            let _ = wait.recv();
        });
        let settings =
            Settings { heartbeat_timeout: Duration::from_millis(200), ..Settings::default() };
        let client = Client::new(TOKEN.to_owned(), settings);
        let res = client.heartbeat(address, &exchange(1)).await;
        assert!(matches!(res, Err(Error::NoAnswer(_))), "{answer:?}: {res:?}");
        drop(done);
        peer.join().unwrap();
    }
}
