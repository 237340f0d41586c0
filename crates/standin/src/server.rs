//! A small HTTP server on its own threads.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
};

use tiny_http::Request;

/// Number of threads, and of requests handled concurrently.
const THREADS: usize = 8;

/// An HTTP server that stops when it is dropped.
pub(crate) struct Server {
    address: SocketAddr,
    inner: Arc<tiny_http::Server>,
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Server {
    /// Starts a server on a free port of 127.0.0.1.
    pub(crate) fn start<F>(handle: F) -> io::Result<Self>
    where
        F: Fn(Request) + Send + Sync + 'static,
    {
        let inner = Arc::new(tiny_http::Server::http("127.0.0.1:0").map_err(io::Error::other)?);
        let address =
            inner.server_addr().to_ip().ok_or_else(|| io::Error::other("no IP address"))?;
        let stopped = Arc::new(AtomicBool::new(false));
        let handle = Arc::new(handle);
        let threads = (0..THREADS)
            .map(|_| {
                let inner = Arc::clone(&inner);
                let stopped = Arc::clone(&stopped);
                let handle = Arc::clone(&handle);
                thread::spawn(move || {
                    while !stopped.load(Ordering::Acquire) {
                        if let Ok(req) = inner.recv() {
                            handle(req);
                        }
                    }
                })
            })
            .collect();
        Ok(Self { address, inner, stopped, threads })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Release);
        for _ in &self.threads {
            self.inner.unblock();
        }
        for it in self.threads.drain(..) {
            // A panic in a handler was already reported by its thread.
            let _ = it.join();
        }
    }
}

/// Answers with a JSON body; a closed connection isn't an error.
pub(crate) fn respond<T: serde::Serialize>(req: Request, status: u16, body: &T) {
    let body = serde_json::to_vec(body).expect("messages serialize");
    let _ = req.respond(tiny_http::Response::from_data(body).with_status_code(status));
}

/// Answers with a status and no body; a closed connection isn't an error.
pub(crate) fn respond_empty(req: Request, status: u16) {
    let _ = req.respond(tiny_http::Response::empty(status));
}
