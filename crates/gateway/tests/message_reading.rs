//! Strict parsing of messages, independent of how they are split into pieces.

use bytes::BytesMut;
use gateway::http::{self, Error, Message, Reader};
use quickcheck::quickcheck;

const HEAD_LIMIT: usize = 1_024;
const BODY_LIMIT: usize = 64;

fn read(text: &str) -> http::Result<Option<Message>> {
    Reader::default().next(&mut BytesMut::from(text), HEAD_LIMIT, BODY_LIMIT)
}

fn body(text: &str) -> String {
    let message = read(text).expect("well-formed").expect("complete");
    String::from_utf8(message.body.to_vec()).unwrap()
}

#[test]
fn bodies() {
    assert_eq!(body("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), "");
    assert_eq!(body("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"), "abc");
    let chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(body(&format!("{chunked}2\r\nab\r\n1;x=y\r\nc\r\n0\r\nT: v\r\n\r\n")), "abc");
}

/// Messages whose body another parser could delimit differently.
#[test]
fn smuggling_refused() {
    let check = |headers: &str| {
        let res = read(&format!("POST / HTTP/1.1\r\n{headers}\r\n\r\nabc"));
        assert!(matches!(res, Err(Error::Framing(_) | Error::Malformed(_))), "{headers}: {res:?}");
    };
    check("Content-Length: 3\r\nTransfer-Encoding: chunked");
    check("Content-Length: 3\r\nContent-Length: 4");
    check("Content-Length: +3");
    check("Content-Length: 3, 3");
    check("Transfer-Encoding: gzip, chunked");
    check("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked");
    check("Content-Length : 3");
    check("A: b\r\n folded: c");
}

#[test]
fn malformed_chunks() {
    let check = |chunks: &str| {
        let res = read(&format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}"));
        assert!(matches!(res, Err(Error::Malformed(_))), "{chunks:?}: {res:?}");
    };
    check("x\r\n");
    check("\r\n");
    check("1\nab");
    check("1\r\nabc");
    check("-1\r\na\r\n");
    check("ffffffffffffffffffff\r\n");
}

#[test]
fn size_limits() {
    let long = "x".repeat(HEAD_LIMIT);
    let head = read(&format!("GET /{long} HTTP/1.1\r\n"));
    assert_eq!(head.unwrap_err(), Error::HeadTooLarge(HEAD_LIMIT));
    let declared = read("POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n");
    assert_eq!(declared.unwrap_err(), Error::BodyTooLarge(BODY_LIMIT));
    let chunk = format!("41\r\n{}\r\n", "x".repeat(65));
    let chunked = read(&format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}"));
    assert_eq!(chunked.unwrap_err(), Error::BodyTooLarge(BODY_LIMIT));
}

/// A reader returns consecutive requests one by one, and none that is incomplete.
#[test]
fn pipelined_requests() {
    let mut buffer = BytesMut::from("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 HT");
    let mut reader = Reader::default();
    let mut next = || reader.next(&mut buffer, HEAD_LIMIT, BODY_LIMIT).unwrap();
    assert_eq!(next().unwrap().head.target, "/1");
    assert_eq!(next().unwrap().head.target, "/2");
    assert!(next().is_none());
}

/// Hop-by-hop headers are not forwarded, and added ones replace those of the caller.
#[test]
fn forwarded_headers() {
    let text = "GET /a?b HTTP/1.1\r\nHost: h\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n\
                X-End: 2\r\nDeadline: 9\r\n\r\n";
    let message = read(text).unwrap().unwrap();
    let sent = String::from_utf8(http::request(&message, &[("deadline", "5")], &[])).unwrap();
    assert_eq!(sent, "GET /a?b HTTP/1.1\r\nHost: h\r\nX-End: 2\r\ndeadline: 5\r\n\r\n");
}

/// A removed header must not get through in another spelling, nor one that is added and removed twice.
#[test]
fn removed_headers() {
    let text = "GET / HTTP/1.1\r\nHost: h\r\nSECRET-key: 1\r\nSecret_Key: 2\r\nsecret-key: 3\r\n\
                Connection: Owner\r\nowner: 4\r\nOWNER: 5\r\nSecret-Keys: 6\r\nDead_line: 7\r\n\r\n";
    let message = read(text).unwrap().unwrap();
    let extra = [("owner", "8"), ("dead-line", "9")];
    let sent = http::request(&message, &extra, &["Secret-Key", "owner"]);
    let sent = String::from_utf8(sent).unwrap();
    let expected = "GET / HTTP/1.1\r\nHost: h\r\nSecret-Keys: 6\r\nDead_line: 7\r\nowner: 8\r\n\
                    dead-line: 9\r\n\r\n";
    assert_eq!(sent, expected);
}

quickcheck! {
    fn arbitrary_pieces(body: Vec<u8>, cuts: Vec<u8>) -> bool {
        let body = &body[..body.len().min(BODY_LIMIT)];
        let mut text = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        for it in body.chunks(7) {
            text.extend_from_slice(format!("{:x}\r\n", it.len()).as_bytes());
            text.extend_from_slice(it);
            text.extend_from_slice(b"\r\n");
        }
        text.extend_from_slice(b"0\r\n\r\n");
        let mut reader = Reader::default();
        let mut buffer = BytesMut::new();
        let mut cuts = cuts.iter().cycle();
        let mut rest = &text[..];
        loop {
            let len = rest.len().min(cuts.next().map_or(1, |it| usize::from(*it) % 9 + 1));
            buffer.extend_from_slice(&rest[..len]);
            rest = &rest[len..];
            match reader.next(&mut buffer, HEAD_LIMIT, BODY_LIMIT) {
                Ok(Some(it)) => return rest.is_empty() && it.body == body,
                Ok(None) if !rest.is_empty() => {}
                _ => return false,
            }
        }
    }

    /// A long head in pieces was searched from its front at each of them, so that reading it took time with
    /// the square of its length (`docs/incidents/long_paths.md`). What is read is the same as of a whole one.
    fn long_head_in_pieces(lines: Vec<u8>, empty_lines: u8, cuts: Vec<u8>) -> bool {
        let limit = 4 * HEAD_LIMIT;
        let empty = "\r\n".repeat(usize::from(empty_lines));
        let headers = lines.iter().map(|it| format!("A: {}\n", "b".repeat(usize::from(*it))));
        let headers = headers.collect::<String>().repeat(4);
        let text = format!(
            "{empty}GET /x HTTP/1.1\r\nHost: a\r\n{headers}\r\nGET /next HTTP/1.1\n\n"
        );
        let all = |pieces: Vec<&[u8]>| {
            let (mut reader, mut buffer) = (Reader::default(), BytesMut::new());
            let mut res = Vec::new();
            for it in pieces {
                buffer.extend_from_slice(it);
                loop {
                    match reader.next(&mut buffer, limit, BODY_LIMIT) {
                        Ok(Some(it)) => res.push(Ok(it.head)),
                        Ok(None) => break,
                        Err(e) => {
                            res.push(Err(e));
                            return res;
                        }
                    }
                }
            }
            res
        };
        let mut rest = text.as_bytes();
        let mut pieces = Vec::new();
        let mut cuts = cuts.iter().cycle();
        while !rest.is_empty() {
            let len = rest.len().min(cuts.next().map_or(7, |it| usize::from(*it) + 1));
            pieces.push(&rest[..len]);
            rest = &rest[len..];
        }
        let whole = all(vec![text.as_bytes()]);
        let is_read = whole.len() == 2 && whole.iter().all(Result::is_ok);
        all(pieces) == whole && (is_read || empty.len() + headers.len() + 100 > limit)
    }

    fn random_bytes(bytes: Vec<u8>) -> bool {
        let mut buffer = BytesMut::from(&bytes[..]);
        // Any result is fine as long as nothing panics and the limits are kept.
        Reader::default()
            .next(&mut buffer, HEAD_LIMIT, BODY_LIMIT)
            .map_or(true, |it| it.is_none_or(|it| it.body.len() <= BODY_LIMIT))
    }
}
