//! A request that is refused before its body has arrived: the reply says whether the connection can
//! be used again, and reaches the caller whole.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

use fleet::{Fleet, Settings};

/// Timeout of reads.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Time by which the body follows its head.
const BODY_DELAY: Duration = Duration::from_millis(50);

fn connect(fleet: &Fleet) -> TcpStream {
    let stream = TcpStream::connect(fleet.address(0)).expect("connects");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("sets a timeout");
    stream
}

/// Head of an order that is refused with 400 because of its key.
fn head(body_bytes: usize) -> String {
    format!(
        "POST /stock/orders HTTP/1.1\r\nhost: a\r\nidempotency-key: fd1j-1.1\r\n\
         content-length: {body_bytes}\r\n\r\n"
    )
}

/// Reads a reply with a length. Returns its head.
fn read_reply(reader: &mut BufReader<TcpStream>) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert!(reader.read_line(&mut head).expect("a line of the head") > 0, "cut: {head:?}");
    }
    let length = head.lines().find_map(|it| it.strip_prefix("content-length: "));
    let mut body = vec![0; length.expect("a length").parse().expect("a number")];
    reader.read_exact(&mut body).expect("the whole body");
    head
}

/// The rest of a small body is read, and the connection carries the next request.
#[test]
fn late_small_body() {
    let fleet = Fleet::start(Settings::default()).expect("fleet starts");
    let mut stream = connect(&fleet);
    let mut reader = BufReader::new(stream.try_clone().expect("clones"));
    for number in 0..3 {
        stream.write_all(head(4).as_bytes()).expect("sends the head");
        thread::sleep(BODY_DELAY);
        stream.write_all(b"bale").expect("sends the body");
        let reply = read_reply(&mut reader);
        assert!(reply.starts_with("HTTP/1.1 400"), "reply {number}: {reply}");
        assert!(!reply.contains("connection: close"), "reply {number}: {reply}");
    }
}

/// A large body is not read; the reply announces that the connection closes.
#[test]
fn large_body() {
    let fleet = Fleet::start(Settings::default()).expect("fleet starts");
    let mut stream = connect(&fleet);
    stream.write_all(head(4 << 20).as_bytes()).expect("sends the head");
    stream.write_all(&vec![b'x'; 64 << 10]).expect("sends the start of the body");
    let mut reader = BufReader::new(stream.try_clone().expect("clones"));
    let reply = read_reply(&mut reader);
    assert!(reply.starts_with("HTTP/1.1 400"), "{reply}");
    assert!(reply.contains("connection: close"), "{reply}");
}

/// A body that never arrives is given up, and the reply announces that the connection closes.
#[test]
fn missing_body() {
    let fleet = Fleet::start(Settings::default()).expect("fleet starts");
    let mut stream = connect(&fleet);
    stream.write_all(head(4).as_bytes()).expect("sends the head");
    let mut reader = BufReader::new(stream.try_clone().expect("clones"));
    let reply = read_reply(&mut reader);
    assert!(reply.starts_with("HTTP/1.1 400"), "{reply}");
    assert!(reply.contains("connection: close"), "{reply}");
}
