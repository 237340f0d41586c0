//! A connection of a caller for many calls.

use std::net::SocketAddr;

use http_body_util::{BodyExt, Empty};
use hyper::{Request, body::Bytes, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::{Error, Result};

/// An open connection.
pub(crate) struct Connection {
    sender: http1::SendRequest<Empty<Bytes>>,
}

impl Connection {
    /// Opens a connection.
    pub(crate) async fn open(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(driver);
        Ok(Self { sender })
    }

    /// Sends a call and reads the whole answer.
    pub(crate) async fn get(&mut self, path: &str) -> Result<()> {
        self.sender.ready().await?;
        let req = Request::get(path).header("host", "fleet").body(Empty::new());
        let req = req.map_err(|e| Error::Call(e.to_string()))?;
        let res = self.sender.send_request(req).await?;
        let status = res.status();
        res.into_body().collect().await?;
        if !status.is_success() {
            return Err(Error::Call(format!("status {status}")));
        }
        Ok(())
    }
}
