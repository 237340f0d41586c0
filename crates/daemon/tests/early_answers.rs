//! A backend server ends its answer before it has read the request, without a length: the part must not
//! count as the whole answer.

use std::{
    io::{self, Read, Write},
    net::Shutdown,
    thread,
    time::Duration,
};

use bytes::Bytes;
use clock::{Clock, System};
use daemon::{
    caller::body::Budget,
    upstream::{
        attempt::{Attempt, Message},
        pool::{Pool, Reuse},
    },
};
use hyper::{HeaderMap, Method, Uri};
use platform_standin::raw;

/// Size of a request: more than the sockets' buffers hold.
const REQUEST_BYTES: usize = 8 << 20;
/// Time from the end of an answer to the reset of its connection. The daemon sees the end first.
const RESET_DELAY: Duration = Duration::from_millis(50);
/// Requests sent one after the other.
const REQUESTS: usize = 12;

/// Returns the number of answers that count as whole, if the backend server answers behind
/// `read_bytes` of a request.
async fn count(read_bytes: usize) -> usize {
    let address = raw::start(move |_head, stream| {
        io::copy(&mut Read::by_ref(stream).take(read_bytes as u64), &mut io::sink())?;
        write!(stream, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nanswer")?;
        stream.shutdown(Shutdown::Write)?;
        thread::sleep(RESET_DELAY);
        Ok(())
    });
    let pool = Pool::new(address, 1);
    let message = Message {
        method: Method::POST,
        target: Uri::from_static("/"),
        headers: HeaderMap::new(),
        body: Bytes::from(vec![b'c'; REQUEST_BYTES]),
    };
    let mut res = 0;
    for _ in 0..REQUESTS {
        let attempt = Attempt {
            clock: &System,
            pool: &pool,
            id: "1".to_owned(),
            reuse: Reuse::Idle,
            answer_limit: 1 << 10,
            budget: &Budget::new(1 << 20),
            deadline: System.now() + Duration::from_secs(20),
            guard: None,
        };
        res += usize::from(attempt.run(&message).await.is_ok());
    }
    res
}

/// Callers got a part of an answer as the whole if its end was read while the request was being written.
#[tokio::test]
async fn ended_parts() {
    assert_eq!(count(REQUEST_BYTES / 20).await, 0);
}

/// Without a length, the end of the connection must complete an answer to a request that was read.
#[tokio::test]
async fn whole_answers() {
    assert_eq!(count(REQUEST_BYTES).await, REQUESTS);
}
