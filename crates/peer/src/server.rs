//! Server that answers peers.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
};

use jsonrpsee::{
    RpcModule,
    core::RegisterMethodError,
    server::{BatchRequestConfig, ServerConfig, ServerHandle},
    types::{ErrorObjectOwned, Params, error::INTERNAL_ERROR_CODE, error::INVALID_PARAMS_CODE},
};
use serde::de::DeserializeOwned;
use tokio::runtime::Handle;

use crate::{Blob, CONFIGURATION, FORWARD, HEARTBEAT, Handler, Settings, Token, guard::GuardLayer};

/// JSON-RPC error code of a heartbeat that is refused.
const HEARTBEAT_REFUSED: i32 = -32_001;

/// The server could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The socket can't be used.
    #[error("cannot start the peer listener: {0}")]
    Socket(#[from] io::Error),
    /// A method is registered twice.
    #[error("cannot register the peer methods: {0}")]
    Method(#[from] RegisterMethodError),
    /// The token is empty.
    #[error("the peers' token is empty")]
    EmptyToken,
}

/// A running server; it stops when it is dropped.
pub struct Server {
    address: SocketAddr,
    handle: ServerHandle,
}

impl Server {
    /// Starts a server on `runtime`; `socket` must be non-blocking.
    ///
    /// # Errors
    ///
    /// Fails if the token is empty or the socket can't be used.
    pub fn start<H: Handler>(
        runtime: &Handle,
        socket: TcpListener,
        token: Token,
        settings: Settings,
        handler: Arc<H>,
    ) -> Result<Self, StartError> {
        if token.is_empty() {
            return Err(StartError::EmptyToken);
        }
        let _context = runtime.enter();
        let server = jsonrpsee::server::Server::builder()
            .set_config(config(settings))
            .set_http_middleware(tower::ServiceBuilder::new().layer(GuardLayer::new(token)))
            .build_from_tcp(socket)?;
        let address = server.local_addr()?;
        let handle = server.start(methods(handler)?);
        Ok(Self { address, handle })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting calls and waits for those in progress.
    pub async fn stop(self) {
        // An error means that it has stopped already.
        let _ = self.handle.stop();
        self.handle.stopped().await;
    }
}

fn config(settings: Settings) -> ServerConfig {
    ServerConfig::builder()
        .max_request_body_size(settings.request_limit_bytes)
        .max_response_body_size(settings.answer_limit_bytes)
        .max_connections(settings.connections)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .set_first_request_timeout(Some(settings.first_request_timeout))
        .set_tcp_no_delay(true)
        .http_only()
        .build()
}

fn methods<H: Handler>(handler: Arc<H>) -> Result<RpcModule<Arc<H>>, RegisterMethodError> {
    let mut module = RpcModule::from_arc(Arc::new(handler));
    module.register_method(HEARTBEAT, |params, handler, _| {
        let exchange: member::Exchange = argument(&params)?;
        handler.heartbeat(&exchange).map_err(|err| refusal(HEARTBEAT_REFUSED, &err.to_string()))
    })?;
    module.register_method(CONFIGURATION, |params, handler, _| {
        let newer_than: u64 = argument(&params)?;
        Ok::<_, ErrorObjectOwned>(handler.configuration(newer_than).map(Blob))
    })?;
    module.register_async_method(FORWARD, |params, handler, _| async move {
        let order: H::Order = argument(&params)?;
        let handler = Arc::clone(&*handler);
        // The order runs in a task of its own, so that it outlives the connection.
        let task = tokio::spawn(async move { handler.forward(order).await });
        task.await.map_err(|err| refusal(INTERNAL_ERROR_CODE, &err.to_string()))
    })?;
    Ok(module)
}

fn argument<T: DeserializeOwned>(params: &Params<'_>) -> Result<T, ErrorObjectOwned> {
    params.one().map_err(|err| {
        let detail = err.data().and_then(|it| serde_json::from_str(it.get()).ok());
        refusal(INVALID_PARAMS_CODE, &detail.unwrap_or_else(|| err.message().to_owned()))
    })
}

fn refusal(code: i32, message: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code, message, None::<()>)
}
