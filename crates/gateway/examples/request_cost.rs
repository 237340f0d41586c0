//! Prints the time that reading, routing and writing a request takes against its size, for requests that
//! are legal and unusual. The time for a byte must not grow with the size.

use std::time::{Duration, Instant};

use bytes::BytesMut;
use gateway::{
    config::{Config, Part, Route, Table},
    http::{self, Message, Reader},
};

/// Sizes of the requests in bytes, up to four times the usual limit on heads.
const SIZES: [usize; 4] = [1 << 10, 4 << 10, 16 << 10, 64 << 10];
/// Limit on heads and bodies, in bytes.
const LIMIT: usize = 128 << 10;
/// Shortest time over which a figure is taken.
const MEASURED: Duration = Duration::from_millis(100);
/// Bytes of a request that arrive at a time, where it comes in pieces.
const PIECE_BYTES: usize = 16;

/// Shape of a request; makes one of about the given size.
struct Shape {
    name: &'static str,
    make: fn(usize) -> String,
    /// Bytes that arrive at a time; 0 if all do.
    piece_bytes: usize,
}

const fn whole(name: &'static str, make: fn(usize) -> String) -> Shape {
    Shape { name, make, piece_bytes: 0 }
}

const fn pieces(name: &'static str, make: fn(usize) -> String) -> Shape {
    Shape { name, make, piece_bytes: PIECE_BYTES }
}

const SHAPES: [Shape; 11] = [
    whole("long path", |size| get(&format!("/stock/{}", "x".repeat(size)), "")),
    whole("path of slashes", |size| get(&"/".repeat(size), "")),
    whole("path along a prefix", |size| get(&"/a".repeat(size / 2), "")),
    whole("query of parameters", |size| get(&format!("/stock/?{}", "a=1&".repeat(size / 4)), "")),
    whole("many headers", |size| get("/stock/", &"A:b\r\n".repeat(size / 5))),
    whole("many cookies", |size| {
        get("/stock/", &format!("Cookie: {}\r\n", "a=1; ".repeat(size / 5)))
    }),
    whole("connection options", |size| {
        get("/stock/", &format!("Connection: {}a\r\n", "a,".repeat(size / 2)))
    }),
    whole("pipelined requests", |size| get("/stock/", "").repeat(size / 40)),
    whole("chunks of a byte", |size| post(&"1\r\nx\r\n".repeat(size / 6))),
    pieces("head in pieces", |size| get("/stock/", &"A:b\r\n".repeat(size / 5))),
    pieces("chunks in pieces", |size| post(&"1\r\nx\r\n".repeat(size / 6))),
];

fn get(target: &str, headers: &str) -> String {
    format!("GET {target} HTTP/1.1\r\nHost: a.example\r\n{headers}\r\n")
}

fn post(chunks: &str) -> String {
    let head = "POST /stock/ HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked";
    format!("{head}\r\n\r\n{chunks}0\r\n\r\n")
}

/// Routes at each depth of one path.
fn table() -> Table {
    let route = |prefix: String| Route {
        id: prefix.as_str().into(),
        host: "a.example".into(),
        prefix,
        parts: vec![Part { service: "stock".into(), weight: 1 }],
        ..Route::default()
    };
    let mut routes: Vec<_> =
        (0..50).map(|depth| route(format!("/{}", "a/".repeat(depth)))).collect();
    routes.push(route("/stock/".to_owned()));
    Table::new(Config { version: 1, routes, ..Config::default() })
}

fn handle(table: &Table, message: &Message) -> usize {
    let target = std::str::from_utf8(&message.head.target).unwrap_or_default();
    let route = table.find("a.example", target);
    assert!(route.is_some(), "{target}");
    http::request(message, &[("Deadline-Ms", "1000")], &["x-key"]).len()
}

/// Reads and handles all requests in `text`.
fn run(table: &Table, text: &str, piece_bytes: usize) -> usize {
    let mut reader = Reader::default();
    let mut buffer = BytesMut::new();
    let mut sum = 0;
    for piece in text.as_bytes().chunks(if piece_bytes == 0 { text.len() } else { piece_bytes }) {
        buffer.extend_from_slice(piece);
        while let Some(it) = reader.next(&mut buffer, LIMIT, LIMIT).expect("well-formed") {
            sum += handle(table, &it);
        }
    }
    assert!(buffer.is_empty() && sum > 0);
    sum
}

/// Nanoseconds for a byte.
fn cost(table: &Table, text: &str, piece_bytes: usize) -> f64 {
    let (started, mut runs) = (Instant::now(), 0_u32);
    while started.elapsed() < MEASURED {
        run(table, text, piece_bytes);
        runs += 1;
    }
    started.elapsed().as_nanos() as f64 / f64::from(runs) / text.len() as f64
}

fn main() {
    let table = table();
    println!("shape | ns/byte at {SIZES:?} bytes | largest / smallest");
    for Shape { name, make, piece_bytes } in SHAPES {
        let costs = SIZES.map(|size| cost(&table, &make(size), piece_bytes));
        let figures = costs.map(|it| format!("{it:.1}")).join(" | ");
        println!("{name} | {figures} | {:.2}", costs[costs.len() - 1] / costs[0]);
    }
}
