//! A proxy that counts the bytes between clients and a server.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::{net::TcpStream, runtime::Handle, task::JoinHandle};

/// Size of the buffer for one direction of a connection.
const CHUNK_BYTES: usize = 16 << 10;

/// A proxy that forwards connections to a server and counts the bytes of both directions together.
pub(super) struct Meter {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

/// An address that is reserved for a meter before its server runs.
pub(super) struct Reserved {
    listener: TcpListener,
    address: SocketAddr,
}

impl Reserved {
    pub(super) fn new() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        Ok(Self { listener, address })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts the meter as a proxy for `server`.
    pub(super) fn start(self, runtime: &Handle, server: SocketAddr) -> Meter {
        let bytes = Arc::new(AtomicU64::new(0));
        let task = runtime.spawn(accept(self.listener, server, Arc::clone(&bytes)));
        Meter { address: self.address, bytes, task }
    }
}

impl Meter {
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

impl Drop for Meter {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, server: SocketAddr, bytes: Arc<AtomicU64>) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    while let Ok((client, _)) = listener.accept().await {
        let bytes = Arc::clone(&bytes);
        tokio::spawn(async move {
            let Ok(server) = TcpStream::connect(server).await else { return };
            // If either end closes its connection, the other one is closed too.
            let _ = client.set_nodelay(true).and(server.set_nodelay(true));
            tokio::select! {
                _ = forward(&client, &server, &bytes) => {}
                _ = forward(&server, &client, &bytes) => {}
            }
        });
    }
}

async fn forward(from: &TcpStream, to: &TcpStream, bytes: &AtomicU64) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        from.readable().await?;
        let size = match from.try_read(&mut chunk) {
            Ok(0) => return Ok(()),
            Ok(it) => it,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
            Err(e) => return Err(e),
        };
        bytes.fetch_add(size as u64, Ordering::Relaxed);
        write(to, &chunk[..size]).await?;
    }
}

async fn write(to: &TcpStream, mut rest: &[u8]) -> io::Result<()> {
    while !rest.is_empty() {
        to.writable().await?;
        match to.try_write(rest) {
            Ok(it) => rest = &rest[it..],
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
