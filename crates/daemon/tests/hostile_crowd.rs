//! Crowds of clients that send or read without end or stop half-way: the daemon stays alive, within
//! its memory and its descriptors, and answers an ordinary request afterwards. One crowd at a time.

mod crowd;
mod host;

use std::{
    io::{self, Read, Write},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use crowd::{BODY_BYTES, CROWD, DESCRIPTORS, Setup, head, read};
use platform_standin::config;
use socket2::SockRef;

/// Time for which a client goes on sending small parts.
const SENDING_TIME: Duration = Duration::from_secs(3);
/// Size of a large answer, in bytes.
const ANSWER_BYTES: usize = 540_000;
/// Requests that a client pipelines.
const PIPELINED: usize = 32;
/// Receive buffer of a client that reads slowly, in bytes: the rest of an answer stays at the daemon.
const SMALL_BUFFER: usize = 4 << 10;

/// Sends the bytes of `part` again and again for [`SENDING_TIME`], or `limit` bytes.
fn send_parts(stream: &mut TcpStream, part: &[u8], limit: usize) -> io::Result<()> {
    let block = part.repeat((16 << 10) / part.len() + 1);
    let until = Instant::now() + SENDING_TIME;
    let mut sent = 0;
    while sent < limit && Instant::now() < until {
        stream.write_all(&block)?;
        sent += block.len();
    }
    Ok(())
}

/// Failure: bodies that stop short of their end are held without being counted.
#[test]
fn lengths_at_once() {
    let body = vec![b'x'; BODY_BYTES - 1];
    Setup::start("lengths-at-once").check(|mut it| {
        it.write_all(head(&format!("Content-Length: {BODY_BYTES}")).as_bytes())?;
        it.write_all(&body)?;
        Ok(it)
    });
}

/// Failure: bodies that arrive piece by piece are not counted as they grow.
#[test]
fn lengths_in_pieces() {
    let piece = vec![b'x'; 64 << 10];
    Setup::start("lengths-in-pieces").check(|mut it| {
        it.write_all(head(&format!("Content-Length: {BODY_BYTES}")).as_bytes())?;
        for _ in 0..(BODY_BYTES - 1) >> 16 {
            it.write_all(&piece)?;
            thread::sleep(Duration::from_millis(20));
        }
        Ok(it)
    });
}

/// Failure: a chunked body, whose length is not known before, is held without being counted.
#[test]
fn large_chunks() {
    let chunk = format!("{:x}\r\n{}\r\n", 256 << 10, "x".repeat(256 << 10)).into_bytes();
    Setup::start("large-chunks").check(|mut it| {
        it.write_all(head("Transfer-Encoding: chunked").as_bytes())?;
        for _ in 0..(BODY_BYTES >> 18) - 1 {
            it.write_all(&chunk)?;
        }
        Ok(it)
    });
}

/// Failure: as with large chunks, with more bookkeeping for each byte.
#[test]
fn small_chunks() {
    Setup::start("small-chunks").check(|mut it| {
        it.write_all(head("Transfer-Encoding: chunked").as_bytes())?;
        send_parts(&mut it, b"10\r\nxxxxxxxxxxxxxxxx\r\n", BODY_BYTES)?;
        Ok(it)
    });
}

/// Failure: each chunk of one byte costs memory or time out of proportion to its size.
#[test]
fn one_byte_chunks() {
    Setup::start("one-byte-chunks").check(|mut it| {
        it.write_all(head("Transfer-Encoding: chunked").as_bytes())?;
        send_parts(&mut it, b"1\r\nx\r\n", BODY_BYTES)?;
        Ok(it)
    });
}

/// Failure: extensions of chunks are kept, or are read without a limit.
#[test]
fn long_extensions() {
    let chunk = format!("1;{}\r\nx\r\n", "e".repeat(4_000)).into_bytes();
    Setup::start("long-extensions").check(|mut it| {
        it.write_all(head("Transfer-Encoding: chunked").as_bytes())?;
        send_parts(&mut it, &chunk, usize::MAX)?;
        Ok(it)
    });
}

/// Failure: trailers are kept, or are read without a limit.
#[test]
fn endless_trailers() {
    Setup::start("endless-trailers").check(|mut it| {
        it.write_all(head("Transfer-Encoding: chunked").as_bytes())?;
        it.write_all(b"0\r\n")?;
        send_parts(&mut it, b"T: v\r\n", usize::MAX)?;
        Ok(it)
    });
}

/// Failure: answers that are not read pile up behind the first of a connection.
#[test]
fn unread_answers() {
    Setup::start("unread-answers").check(|mut it| {
        SockRef::from(&it).set_recv_buffer_size(SMALL_BUFFER)?;
        it.write_all(read(ANSWER_BYTES).repeat(PIPELINED).as_bytes())?;
        Ok(it)
    });
}

/// Failure: answers that are read slowly are held several times.
#[test]
fn slowly_read_answers() {
    Setup::start("slowly-read-answers").check(|mut it| {
        SockRef::from(&it).set_recv_buffer_size(SMALL_BUFFER)?;
        it.write_all(read(BODY_BYTES).repeat(4).as_bytes())?;
        let until = Instant::now() + SENDING_TIME;
        while Instant::now() < until {
            it.read_exact(&mut [0; 256])?;
            thread::sleep(Duration::from_millis(100));
        }
        Ok(it)
    });
}

/// Failure: lists of many short headers, several times as large as the heads, are held without being
/// counted while their requests run.
#[test]
fn short_headers() {
    let path = "/read/1?work_ms=2500";
    let usual = config::request("GET", path, "crowd", false);
    let headers = "a:\r\n".repeat(3_900);
    let request = usual.replace("\r\n\r\n", &format!("\r\n{headers}\r\n"));
    Setup::start("short-headers").check(|mut it| {
        it.write_all(request.repeat(PIPELINED).as_bytes())?;
        Ok(it)
    });
}

/// Failure: heads without an end use up memory or connections.
#[test]
fn open_heads() {
    let head = format!("GET /read/1 HTTP/1.1\r\nX-Long: {}", "x".repeat(16_000));
    Setup::start("open-heads").check_crowd(DESCRIPTORS / 2, |mut it| {
        it.write_all(head.as_bytes())?;
        Ok(it)
    });
}

/// Failure: idle connections use up the descriptors.
#[test]
fn idle_connections() {
    Setup::start("idle-connections").check_crowd(DESCRIPTORS * 3 / 2, Ok);
}

/// Failure: connections that are reset leave descriptors or memory behind.
#[test]
fn reset_connections() {
    let part = vec![b'x'; 256 << 10];
    Setup::start("reset-connections").check_crowd(DESCRIPTORS * 2, |mut it| {
        it.write_all(head(&format!("Content-Length: {BODY_BYTES}")).as_bytes())?;
        it.write_all(&part)?;
        SockRef::from(&it).set_linger(Some(Duration::ZERO))?;
        Err(io::ErrorKind::ConnectionReset.into())
    });
}

/// Failure: a body behind a request in progress is read ahead without being counted.
#[test]
fn pipelined_bodies() {
    let body = vec![b'x'; BODY_BYTES - 1];
    Setup::start("pipelined-bodies").check_crowd(CROWD, |mut it| {
        it.write_all(read(ANSWER_BYTES).as_bytes())?;
        it.write_all(head(&format!("Content-Length: {BODY_BYTES}")).as_bytes())?;
        it.write_all(&body)?;
        Ok(it)
    });
}

/// Failure: memory that freed heads leave in the heap isn't taken off the limit of the bodies that
/// follow them.
#[test]
fn bodies_after_heads() {
    let usual = config::request("GET", "/read/1", "crowd", false);
    let headers = "a:\r\n".repeat(3_900);
    let heads = usual.replace("\r\n\r\n", &format!("\r\n{headers}\r\n")).repeat(PIPELINED);
    let body = vec![b'x'; BODY_BYTES - 1];
    let setup = Setup::start("bodies-after-heads");
    thread::scope(|scope| {
        for _ in 0..CROWD {
            // The daemon may refuse or close any connection of the crowd.
            scope.spawn(|| {
                let mut it = setup.connect()?;
                it.write_all(heads.as_bytes())?;
                it.read(&mut [0; 1])
            });
        }
    });
    setup.check(|mut it| {
        it.write_all(head(&format!("Content-Length: {BODY_BYTES}")).as_bytes())?;
        it.write_all(&body)?;
        Ok(it)
    });
}
