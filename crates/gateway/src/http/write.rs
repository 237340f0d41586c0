//! Serialization of messages.

use std::io::Write;

use super::Message;

/// Room for the first line and the headers that are added to a head, in bytes.
const ADDED_BYTES: usize = 512;

/// Serializes a request to an upstream: the caller's request with `extra` headers, which replace
/// those of the same name, and without the headers called one of `removed`.
///
/// Some servers treat `_` in a header name as `-`, so names that differ only in this are removed as
/// well.
#[must_use]
pub fn request(message: &Message, extra: &[(&str, &str)], removed: &[&str]) -> Vec<u8> {
    let mut out = request_head(message, extra, removed);
    out.extend_from_slice(&message.body);
    out
}

/// As [`request`], without the body.
#[must_use]
pub fn request_head(message: &Message, extra: &[(&str, &str)], removed: &[&str]) -> Vec<u8> {
    let head = &message.head;
    let mut out = Vec::with_capacity(ADDED_BYTES + head.text_len());
    out.extend_from_slice(&head.method);
    out.push(b' ');
    out.extend_from_slice(&head.target);
    out.extend_from_slice(b" HTTP/1.1\r\n");
    forward(&mut out, message, extra, removed);
    let has_body = !message.body.is_empty() || matches!(&*head.method, b"POST" | b"PUT" | b"PATCH");
    finish(&mut out, message.body.len(), has_body);
    out
}

/// Serializes an answer to a caller; `is_last` announces that the connection is closed after it.
///
/// The answer to a `HEAD` request (`without_body`) keeps its declared length.
#[must_use]
pub fn answer(message: &Message, without_body: bool, is_last: bool) -> Vec<u8> {
    let mut out = answer_head(message, without_body, is_last);
    if !without_body {
        out.extend_from_slice(&message.body);
    }
    out
}

/// As [`answer`], without the body.
#[must_use]
pub fn answer_head(message: &Message, without_body: bool, is_last: bool) -> Vec<u8> {
    let head = &message.head;
    let mut out = Vec::with_capacity(ADDED_BYTES + head.text_len());
    write(&mut out, format_args!("HTTP/1.1 {} {}\r\n", head.status, reason_phrase(head.status)));
    forward(&mut out, message, &[], &[]);
    if is_last {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    let declared = head.text("content-length").filter(|_| without_body);
    if let Some(it) = declared {
        write(&mut out, format_args!("Content-Length: {it}\r\n"));
    }
    let has_length = declared.is_none() && !matches!(head.status, 100..=199 | 204 | 304);
    finish(&mut out, if without_body { 0 } else { message.body.len() }, has_length);
    out
}

fn forward(out: &mut Vec<u8>, message: &Message, extra: &[(&str, &str)], removed: &[&str]) {
    for it in message.head.end_to_end() {
        let is_replaced =
            extra.iter().any(|(name, _)| it.name.eq_ignore_ascii_case(name.as_bytes()))
                || removed.iter().any(|name| is_same_name(&it.name, name));
        let is_length = it.name.eq_ignore_ascii_case(b"content-length");
        if is_replaced || is_length {
            continue;
        }
        out.extend_from_slice(&it.name);
        out.extend_from_slice(b": ");
        out.extend_from_slice(&it.value);
        out.extend_from_slice(b"\r\n");
    }
    for (name, value) in extra {
        write(out, format_args!("{name}: {value}\r\n"));
    }
}

/// Whether an upstream may take `name` for `known`, in any case and with `_` for `-`.
fn is_same_name(name: &[u8], known: &str) -> bool {
    let normal = |it: &u8| if *it == b'_' { b'-' } else { it.to_ascii_lowercase() };
    name.len() == known.len() && name.iter().map(normal).eq(known.as_bytes().iter().map(normal))
}

fn finish(out: &mut Vec<u8>, body_len: usize, has_length: bool) {
    if has_length {
        write(out, format_args!("Content-Length: {body_len}\r\n"));
    }
    out.extend_from_slice(b"\r\n");
}

fn write(out: &mut Vec<u8>, text: std::fmt::Arguments<'_>) {
    // Writing to memory does not fail.
    let _infallible = out.write_fmt(text);
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        304 => "Not Modified",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
