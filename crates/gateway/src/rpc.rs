//! Calls between daemons: a daemon that can't reach the store asks a peer for what it has read.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use jsonrpsee::{
    RpcModule,
    core::{RegisterMethodError, client::ClientT, params::ArrayParams},
    server::{BatchRequestConfig, Server, ServerConfig, ServerHandle},
};
use jsonrpsee_http_client::HttpClientBuilder;

use crate::{gateway::Gateway, platform::Offset, registry::Registration};

/// Method that gives the newest configuration.
const CONFIG: &str = "config";
/// Method that gives the registry.
const REGISTRY: &str = "registry";
/// Longest time for a peer to answer.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Largest answer, in bytes; configurations of many routes stay below.
const MAX_ANSWER_BYTES: u32 = 16 << 20;
/// Connections of peers at a time.
const MAX_CONNECTIONS: u32 = 64;
/// Peers that are asked before a daemon gives up for now.
const MAX_ASKED: usize = 3;

/// A record of a configuration, as the store holds it.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Text {
    /// Key of the record.
    pub key: String,
    /// Value of the record.
    pub value: String,
}

/// The registry as a daemon knows it.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub struct Known {
    /// Offset up to which the registry was read.
    pub end: Offset,
    /// Upstreams that may be used.
    pub registrations: Vec<Registration>,
}

#[derive(Debug, Default)]
struct Content {
    config: Option<Text>,
    known: Known,
    digest: u32,
}

/// What peers may ask for.
#[derive(Clone, Debug, Default)]
pub struct Shared(Arc<Mutex<Content>>);

impl Shared {
    /// Replaces the configuration.
    pub fn set_config(&self, key: &str, value: &[u8]) {
        match std::str::from_utf8(value) {
            Ok(it) => {
                let text = Text { key: key.to_owned(), value: it.to_owned() };
                self.with(|content| content.config = Some(text));
            }
            Err(e) => log::error!("event=config-not-shared error=\"{e}\""),
        }
    }

    /// Replaces the registry, if its hash has changed.
    pub fn set_registry(
        &self,
        end: Offset,
        digest: u32,
        registrations: impl FnOnce() -> Vec<Registration>,
    ) {
        self.with(|content| {
            if content.digest != digest || content.known.registrations.is_empty() {
                content.known.registrations = registrations();
                content.digest = digest;
            }
            content.known.end = end;
        });
    }

    fn with<T>(&self, f: impl FnOnce(&mut Content) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Serves peers on the address of the settings.
///
/// # Errors
///
/// Fails if the address can't be used.
pub async fn serve(shared: Shared, address: SocketAddr) -> std::io::Result<ServerHandle> {
    let config = ServerConfig::builder()
        .max_response_body_size(MAX_ANSWER_BYTES)
        .max_connections(MAX_CONNECTIONS)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .http_only()
        .build();
    let server = Server::builder().set_config(config).build(address).await?;
    let methods = methods(shared).map_err(std::io::Error::other)?;
    Ok(server.start(methods))
}

fn methods(shared: Shared) -> Result<RpcModule<Shared>, RegisterMethodError> {
    let mut module = RpcModule::new(shared);
    module.register_method(CONFIG, |_params, shared, _extensions| {
        shared.with(|it| it.config.clone())
    })?;
    module.register_method(REGISTRY, |_params, shared, _extensions| {
        shared.with(|it| Some(it.known.clone()))
    })?;
    Ok(module)
}

/// Asks peers that have a newer configuration for it.
pub async fn fetch_config(gateway: &Gateway) -> Option<(Text, SocketAddr)> {
    let version = gateway.version();
    let addresses = ask_list(gateway, |it| it.config > version);
    for address in addresses {
        if let Some(it) = ask::<Option<Text>>(address, CONFIG).await.flatten() {
            return Some((it, address));
        }
    }
    None
}

/// Asks peers that know the registry for it.
pub async fn fetch_registry(gateway: &Gateway) -> Option<(Known, SocketAddr)> {
    let end = gateway.registry.borrow().end();
    let addresses = ask_list(gateway, |it| it.registry_end > end);
    for address in addresses {
        if let Some(it) =
            ask::<Option<Known>>(address, REGISTRY).await.flatten().filter(|it| it.end > 0)
        {
            return Some((it, address));
        }
    }
    None
}

fn ask_list(gateway: &Gateway, has: impl Fn(&crate::peer::Heartbeat) -> bool) -> Vec<SocketAddr> {
    let now = gateway.now();
    let peers = gateway.peers.borrow();
    let mut res: Vec<_> =
        peers.live_peers(now).filter(|(_, it)| has(&it.heartbeat)).map(|(at, _)| at).collect();
    fastrand::shuffle(&mut res);
    res.truncate(MAX_ASKED);
    res
}

async fn ask<T: serde::de::DeserializeOwned>(address: SocketAddr, method: &str) -> Option<T> {
    let client = HttpClientBuilder::default()
        .request_timeout(TIMEOUT)
        .max_response_size(MAX_ANSWER_BYTES)
        .build(format!("http://{address}"));
    let res = match client {
        Ok(it) => it.request(method, ArrayParams::new()).await,
        Err(e) => Err(e),
    };
    res.inspect_err(|e| log::warn!("event=peer-not-asked peer={address} error=\"{e}\"")).ok()
}
