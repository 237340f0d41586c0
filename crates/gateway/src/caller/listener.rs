//! Accepts connections.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::net::TcpListener;

use super::{Port, serve, shed};
use crate::{gateway::Gateway, socket};

/// Maximum number of connections waiting to be accepted.
const BACKLOG: i32 = 1_024;
/// Pause after a failed accept, for example when file descriptors or memory run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Opens a listening socket.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Starts a task that serves connections to `address`.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn listen(gateway: &Rc<Gateway>, port: Port, address: SocketAddr) -> io::Result<()> {
    let listener = bind(address)?;
    // Accepted connections inherit the size.
    SockRef::from(&listener).set_recv_buffer_size(gateway.receive_buffer_bytes)?;
    tokio::task::spawn_local(accept(Rc::clone(gateway), port, listener));
    Ok(())
}

/// Accepts connections; callers' connections until the gateway's `callers_closed` is notified.
async fn accept(gateway: Rc<Gateway>, port: Port, listener: TcpListener) {
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let accepted = tokio::select! {
            biased;
            // Connections that the kernel has accepted already come first.
            it = listener.accept() => it,
            () = gateway.callers_closed.notified(), if port == Port::Callers => {
                gateway.is_port_closed.set(true);
                return;
            }
        };
        let (stream, caller) = match accepted {
            Ok(it) => it,
            Err(e) => {
                shed::record(
                    &gateway,
                    "accept-failed",
                    format_args!("port={port:?} error=\"{e}\""),
                );
                // Without a descriptor nothing can be accepted, so one is freed if possible.
                let _freed = gateway.memory.close_idle(port as usize, gateway.now());
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let limit = port.connection_limit(gateway.settings().descriptor_limit);
        if open.get() >= limit {
            if gateway.memory.close_idle(port as usize, gateway.now()) {
                // The connection that is closed has its turn before the next one is accepted.
                tokio::task::yield_now().await;
            }
            if open.get() >= limit {
                let details = format_args!("port={port:?} open={}", open.get());
                shed::record(&gateway, "connection-refused", details);
                continue;
            }
        }
        if let Err(e) = socket::prepare(&stream, socket::CALLER_TIMEOUT) {
            log::warn!("event=socket-options-failed port={port:?} error={e}");
        }
        let count = Count::new(&gateway, &open);
        let gateway = Rc::clone(&gateway);
        tokio::task::spawn_local(async move {
            serve(gateway, port, stream, caller.ip()).await;
            drop(count);
        });
    }
}

/// Counts a connection until it is dropped.
struct Count {
    gateway: Rc<Gateway>,
    open: Rc<Cell<usize>>,
}

impl Count {
    fn new(gateway: &Rc<Gateway>, open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        gateway.metrics.connections.inc();
        Self { gateway: Rc::clone(gateway), open: Rc::clone(open) }
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
        self.gateway.metrics.connections.dec();
    }
}
