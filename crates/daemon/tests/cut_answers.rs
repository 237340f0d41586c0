//! Backend servers whose answers end in the middle of the head or of the body, at every place, with a
//! close and with a reset: no part of one may count as a whole answer. Requests of callers, orders and
//! probes are sent by the same type.

use std::time::Duration;

use bytes::Bytes;
use clock::{Clock, System};
use daemon::{
    caller::body::Budget,
    upstream::{
        attempt::{Answer, Attempt, Message, Result},
        pool::{Pool, Reuse},
    },
};
use hyper::{HeaderMap, Method, Uri};
use platform_standin::{CutServer, cut::Reply};

fn reply(message: &gateway::http::Message) -> Reply {
    let target = &*message.head.target;
    let id = message.head.text("fireflydrum-attempt").unwrap();
    let headers = format!("fireflydrum-attempt: {id}\r\nfireflydrum-load: in_flight=0\r\n");
    Reply { headers, body: target.to_vec(), is_cut: target == b"/cut" }
}

async fn send(pool: &Pool, method: &Method, target: &'static str) -> Result<Answer> {
    let attempt = Attempt {
        clock: &System,
        pool,
        id: target.to_owned(),
        reuse: Reuse::Idle,
        answer_limit: 1 << 10,
        budget: &Budget::new(1 << 20),
        deadline: System.now() + Duration::from_secs(20),
        guard: None,
    };
    let message = Message {
        method: method.clone(),
        target: Uri::from_static(target),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    attempt.run(&message).await
}

/// Checks requests on connections that have carried another answer, or on new ones.
fn check(is_kept: bool) {
    let server = CutServer::start(reply);
    let pool = Pool::new(server.address, 1);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    for method in [Method::GET, Method::POST] {
        server.check(|cut| {
            runtime.block_on(async {
                if is_kept {
                    let answer = send(&pool, &Method::GET, "/before").await.unwrap();
                    assert_eq!(answer.body.bytes, "/before");
                }
                match send(&pool, &method, "/cut").await {
                    Ok(it) => it.status == 200,
                    Err(e) => {
                        assert!(!e.is_not_run(), "{cut:?}: {e}, though the request was read");
                        false
                    }
                }
            })
        });
    }
    let sent = server.sent();
    assert_eq!(sent.kept, if is_kept { sent.count } else { 0 });
}

#[test]
fn new_connections() {
    check(false);
}

#[test]
fn kept_connections() {
    check(true);
}
