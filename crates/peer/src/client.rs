//! Client for calls to peers.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use jsonrpsee::core::{client::ClientT, params::ArrayParams};
use jsonrpsee_http_client::{HeaderMap, HeaderValue, HttpClient, HttpClientBuilder};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    Blob, CONFIGURATION, Error, FORWARD, HEARTBEAT, Result, Settings, TOKEN_HEADER, Token,
};

/// Maximum time for any call, regardless of its own timeout.
const CALL_LIMIT: Duration = Duration::from_mins(10);

/// Calls peers over pooled connections.
pub struct Client {
    token: Token,
    settings: Settings,
    /// One client per peer, least recently used first.
    clients: Mutex<VecDeque<(SocketAddr, HttpClient)>>,
}

impl Client {
    /// Creates a client that authenticates with `token`.
    #[must_use]
    pub fn new(token: Token, settings: Settings) -> Self {
        Self { token, settings, clients: Mutex::default() }
    }

    /// Sends a heartbeat and returns the answer.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer.
    pub async fn heartbeat(
        &self,
        peer: SocketAddr,
        exchange: &member::Exchange,
    ) -> Result<member::Exchange> {
        self.call(peer, HEARTBEAT, exchange, self.settings.heartbeat_timeout).await
    }

    /// Fetches a snapshot of the configuration that reaches beyond the log offset `newer_than`;
    /// `None` if the peer has no newer one.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer.
    pub async fn configuration(&self, peer: SocketAddr, newer_than: u64) -> Result<Option<Bytes>> {
        let timeout = self.settings.configuration_timeout;
        let blob: Option<Blob> = self.call(peer, CONFIGURATION, &newer_than, timeout).await?;
        Ok(blob.map(|it| it.0))
    }

    /// Forwards an order and waits for its outcome for at most `timeout`.
    ///
    /// # Errors
    ///
    /// Fails if there is no outcome. [`Error::NotReached`] and [`Error::Refused`] mean that this
    /// call started nothing; an earlier one may have.
    pub async fn forward<O, T>(&self, peer: SocketAddr, order: &O, timeout: Duration) -> Result<T>
    where
        O: Serialize + Sync,
        T: DeserializeOwned,
    {
        self.call(peer, FORWARD, order, timeout).await
    }

    async fn call<A, T>(
        &self,
        peer: SocketAddr,
        method: &str,
        argument: &A,
        timeout: Duration,
    ) -> Result<T>
    where
        A: Serialize + Sync,
        T: DeserializeOwned,
    {
        let client = self.client(peer)?;
        let mut params = ArrayParams::new();
        params.insert(argument).map_err(|err| Error::NotReached(err.to_string()))?;
        let call = client.request(method, params);
        match tokio::time::timeout(timeout, call).await {
            Ok(res) => Ok(res?),
            Err(_) => Err(Error::NoAnswer(format!("timeout after {timeout:?}"))),
        }
    }

    fn client(&self, peer: SocketAddr) -> Result<HttpClient> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        let index = clients.iter().position(|(it, _)| *it == peer);
        let client = match index.and_then(|it| clients.remove(it)) {
            Some((_, it)) => it,
            None => self.connect(peer)?,
        };
        clients.push_back((peer, client.clone()));
        if clients.len() > self.settings.connected_peers {
            clients.pop_front();
        }
        Ok(client)
    }

    fn connect(&self, peer: SocketAddr) -> Result<HttpClient> {
        let token = HeaderValue::from_str(&self.token)
            .map_err(|err| Error::NotReached(format!("token: {err}")))?;
        let mut headers = HeaderMap::new();
        headers.insert(TOKEN_HEADER, token);
        Ok(HttpClientBuilder::new()
            .max_request_size(self.settings.request_limit_bytes)
            .max_response_size(self.settings.answer_limit_bytes)
            .request_timeout(CALL_LIMIT)
            .connect_timeout(self.settings.connect_timeout)
            .set_tcp_no_delay(true)
            .set_headers(headers)
            .build(format!("http://{peer}"))?)
    }
}
