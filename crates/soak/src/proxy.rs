//! A loopback proxy that harms the connections through it.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

/// How often a connection looks for a change of the harm.
const LOOK: Duration = Duration::from_millis(20);

/// What is done to connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Harm {
    /// Nothing.
    #[default]
    None,
    /// Bytes are held up for a time.
    Delay(Duration),
    /// Bytes of either direction are swallowed, and connections stay open.
    Silence,
    /// Answers are swallowed, requests go through.
    OneWay,
    /// Connections are closed.
    Close,
}

/// A running proxy; its threads end with the process.
#[derive(Clone)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    harm: Arc<Mutex<Harm>>,
}

impl Proxy {
    pub(crate) fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let res = Self { address: listener.local_addr()?, harm: Arc::default() };
        let proxy = res.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let proxy = proxy.clone();
                // A connection that can't be passed on is closed, which its client sees.
                thread::spawn(move || drop(proxy.pass(stream, target)));
            }
        });
        Ok(res)
    }

    pub(crate) fn set(&self, harm: Harm) {
        *self.harm.lock().unwrap_or_else(PoisonError::into_inner) = harm;
    }

    fn harm(&self) -> Harm {
        *self.harm.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pass(&self, client: TcpStream, target: SocketAddr) -> io::Result<()> {
        let server = TcpStream::connect(target)?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let (from, to) = (client.try_clone()?, server.try_clone()?);
        let proxy = self.clone();
        let requests = thread::spawn(move || proxy.copy(from, to, false));
        let res = self.copy(server, client, true);
        // The other direction has ended with its sockets.
        drop(requests.join());
        res
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, is_answer: bool) -> io::Result<()> {
        from.set_read_timeout(Some(LOOK))?;
        let mut buffer = vec![0; 16 << 10];
        loop {
            let count = match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(it) => it,
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) =>
                {
                    0
                }
                Err(_) => break,
            };
            match self.harm() {
                Harm::Close => break,
                Harm::Silence => continue,
                Harm::OneWay if is_answer => continue,
                Harm::Delay(it) if count > 0 => thread::sleep(it),
                _ => {}
            }
            if count > 0 && to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        // Ends both directions; an error means that they have ended already.
        drop(to.shutdown(std::net::Shutdown::Both));
        drop(from.shutdown(std::net::Shutdown::Both));
        Ok(())
    }
}
