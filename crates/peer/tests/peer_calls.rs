//! Heartbeats, configurations and orders between two peers.

mod daemon;

use std::{sync::atomic::Ordering, time::Duration};

use bytes::Bytes;
use daemon::{Daemon, END, Order, client, exchange, start};
use peer::{Blob, Error, Settings};

/// Timeout of the calls.
const TIMEOUT: Duration = Duration::from_secs(30);

fn order(size: usize, work_ms: u64) -> Order {
    let body: Bytes = (0..size).map(|it| it.to_le_bytes()[it % 3]).collect();
    Order { key: "session.1".to_owned(), body: Blob(body), work_ms }
}

#[tokio::test]
async fn heartbeat() {
    let (server, _) = start(Daemon::default(), Settings::default());
    let answer = client().heartbeat(server.address(), &exchange(1)).await;
    assert_eq!(answer, Ok(exchange(2)));
}

/// A snapshot is transferred unchanged, and only if it is newer.
#[tokio::test]
async fn configuration() {
    let snapshot = order(1 << 20, 0).body.0;
    let daemon = Daemon { snapshot: snapshot.clone(), ..Daemon::default() };
    let (server, _) = start(daemon, Settings::default());
    let client = client();
    assert_eq!(client.configuration(server.address(), 0).await, Ok(Some(snapshot)));
    assert_eq!(client.configuration(server.address(), END).await, Ok(None));
}

#[tokio::test]
async fn forwarded_order() {
    let (server, daemon) = start(Daemon::default(), Settings::default());
    for size in [0, 3, 5 << 20] {
        let sent = order(size, 0);
        let res: Result<Order, _> = client().forward(server.address(), &sent, TIMEOUT).await;
        assert_eq!(res, Ok(sent), "{size} bytes");
    }
    assert_eq!(daemon.finished.load(Ordering::Acquire), 3);
}

/// An order whose sender times out is finished, and runs once.
#[tokio::test]
async fn sender_timeout() {
    let (server, daemon) = start(Daemon::default(), Settings::default());
    let client = client();
    let sent = order(3, 200);
    let timeout = Duration::from_millis(50);
    let res: Result<Order, _> = client.forward(server.address(), &sent, timeout).await;
    assert!(matches!(res, Err(Error::NoAnswer(_))));
    while daemon.finished.load(Ordering::Acquire) == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(daemon.started.load(Ordering::Acquire), 1);
}

/// A stop finishes the calls in progress and accepts no new ones.
#[tokio::test]
async fn graceful_stop() {
    let (server, daemon) = start(Daemon::default(), Settings::default());
    let address = server.address();
    let call = tokio::spawn(async move {
        client().forward::<_, Order>(address, &order(3, 100), TIMEOUT).await
    });
    while daemon.started.load(Ordering::Acquire) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    server.stop().await;
    assert_eq!(call.await.unwrap(), Ok(order(3, 100)));
    let res = client().heartbeat(address, &exchange(1)).await;
    assert!(matches!(res, Err(Error::NotReached(_))), "{res:?}");
}
