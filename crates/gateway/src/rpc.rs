//! Calls between daemons. A daemon that can't reach the store fetches the configuration and the
//! registry from a peer.

mod compressed;

use std::{
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use base64::{Engine, prelude::BASE64_STANDARD};
use compressed::Compressed;
use jsonrpsee::{
    RpcModule,
    core::{RegisterMethodError, client::ClientT, params::ArrayParams},
    server::{BatchRequestConfig, Server, ServerConfig, ServerHandle},
};
use jsonrpsee_http_client::HttpClientBuilder;

use crate::{
    caller,
    gateway::Gateway,
    peer::Heartbeat,
    platform::{Era, Offset},
    registry::{Fold, Registration, Removal},
};

/// Method that returns the newest configuration.
const CONFIG_METHOD: &str = "compressed-config";
/// Method that returns the registry.
const REGISTRY_METHOD: &str = "snapshot";
/// Peers whose registries are fewer records apart count as equally far: upstreams write hundreds of
/// records a second, most of them without a change.
const RECORDS_APART: Offset = 1_024;
/// Timeout of a call to a peer.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Largest answer, in bytes, also when decompressed; configurations with many routes stay below.
const MAX_ANSWER_BYTES: u32 = 16 << 20;
/// Largest call, in bytes; calls have no parameters.
const MAX_CALL_BYTES: u32 = 16 << 10;
/// Maximum number of simultaneous connections from peers.
const MAX_CONNECTIONS: u32 = 64;
/// Maximum number of removals in a snapshot: several times those of the seconds by which a write may
/// be late.
const MAX_REMOVALS: usize = 512;
/// Maximum number of peers called per fetch.
const MAX_CALLED_PEERS: usize = 3;

/// A record of a configuration, as in the store. Its value holds the tenants' keys.
#[derive(Clone)]
pub struct Record {
    /// Key of the record.
    pub key: String,
    /// Value of the record.
    pub value: String,
}

impl fmt::Debug for Record {
    /// Omits the value.
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_struct("Record").field("key", &self.key).finish_non_exhaustive()
    }
}

/// The registry as known to a daemon.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub struct Snapshot {
    /// Era of the store in which the registry was read.
    pub era: Era,
    /// Offset up to which the registry was read.
    pub end: Offset,
    /// Usable upstreams.
    pub registrations: Vec<Registration>,
    /// Removals read last, which a record that the store executes late must not undo.
    pub removals: Vec<Removal>,
}

#[derive(Debug, Default)]
struct Content {
    config: Option<Record>,
    /// The configuration for peers, created when the first of them fetches it.
    compressed_config: Option<Compressed>,
    snapshot: Snapshot,
    digest: u32,
}

impl Content {
    fn compressed_config(&mut self) -> Option<Compressed> {
        if self.compressed_config.is_none() {
            self.compressed_config = Compressed::new(self.config.as_ref()?);
        }
        self.compressed_config.clone()
    }
}

/// State that peers can fetch.
#[derive(Clone, Debug, Default)]
pub struct Shared(Arc<Mutex<Content>>);

impl Shared {
    /// Replaces the configuration.
    pub fn set_config(&self, key: &str, value: &[u8]) {
        match std::str::from_utf8(value) {
            Ok(it) => {
                let record = Record { key: key.to_owned(), value: it.to_owned() };
                self.with(|content| {
                    content.config = Some(record);
                    content.compressed_config = None;
                });
            }
            Err(e) => log::error!("event=config-not-shared error=\"{e}\""),
        }
    }

    /// Replaces the registrations if their digest has changed, and sets era and end.
    pub fn set_registry(&self, registry: &Fold) {
        self.with(|Content { snapshot, digest, .. }| {
            if *digest != registry.digest() || snapshot.registrations.is_empty() {
                snapshot.registrations = registry.entries().cloned().collect();
                snapshot.removals = registry.newest_removals(MAX_REMOVALS);
                *digest = registry.digest();
            }
            (snapshot.era, snapshot.end) = (registry.era(), registry.end());
        });
    }

    fn with<T>(&self, f: impl FnOnce(&mut Content) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Serves peers on `address`.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn serve(shared: Shared, address: SocketAddr) -> std::io::Result<ServerHandle> {
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_CALL_BYTES)
        .max_response_body_size(MAX_ANSWER_BYTES)
        .max_connections(MAX_CONNECTIONS)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .http_only()
        .build();
    // All peers call the daemon that announces a new configuration first, at the same moment.
    let listener = caller::bind(address)?.into_std()?;
    let server = Server::builder().set_config(config).build_from_tcp(listener)?;
    let methods = methods(shared).map_err(std::io::Error::other)?;
    Ok(server.start(methods))
}

fn methods(shared: Shared) -> Result<RpcModule<Shared>, RegisterMethodError> {
    let mut module = RpcModule::new(shared);
    module.register_method(CONFIG_METHOD, |_params, shared, _extensions| {
        shared.with(Content::compressed_config)
    })?;
    module.register_method(REGISTRY_METHOD, |_params, shared, _extensions| {
        shared.with(|it| encode(&it.snapshot))
    })?;
    Ok(module)
}

/// Fetches the configuration from a peer that has a newer one.
pub async fn fetch_config(gateway: &Gateway) -> Option<(Record, SocketAddr)> {
    let version = gateway.version();
    let addresses = candidates(gateway, |it| it.config, version);
    for address in addresses {
        let compressed = call::<Option<Compressed>>(address, CONFIG_METHOD).await.flatten();
        if let Some(it) = compressed.and_then(|it| it.into_record(address)) {
            return Some((it, address));
        }
    }
    None
}

/// Fetches the registry from a peer that has read further.
pub async fn fetch_registry(gateway: &Gateway) -> Option<(Snapshot, SocketAddr)> {
    let (era, end) = {
        let registry = gateway.registry.borrow();
        (registry.era(), registry.end())
    };
    let addresses = candidates(
        gateway,
        |it| (it.registry_era, it.registry_end.div_ceil(RECORDS_APART)),
        (era, end.div_ceil(RECORDS_APART)),
    );
    for address in addresses {
        if let Some(it) = fetch_registry_of(address).await {
            return Some((it, address));
        }
    }
    None
}

/// Fetches the registry of one peer, however far it has read.
pub async fn fetch_registry_of(address: SocketAddr) -> Option<Snapshot> {
    let text = call::<Option<String>>(address, REGISTRY_METHOD).await.flatten();
    text.and_then(|it| decode(&it, address)).filter(|it| it.end > 0)
}

/// Encodes a registry in a third of the bytes that JSON takes.
fn encode(snapshot: &Snapshot) -> Option<String> {
    let bytes = postcard::to_allocvec(snapshot)
        .inspect_err(|e| log::error!("event=registry-not-shared error=\"{e}\""))
        .ok()?;
    Some(BASE64_STANDARD.encode(bytes))
}

fn decode(text: &str, from: SocketAddr) -> Option<Snapshot> {
    let bytes = BASE64_STANDARD
        .decode(text)
        .inspect_err(|e| log::warn!("event=registry-malformed peer={from} error=\"{e}\""))
        .ok()?;
    postcard::from_bytes(&bytes)
        .inspect_err(|e| log::warn!("event=registry-malformed peer={from} error=\"{e}\""))
        .ok()
}

fn candidates<T: Copy + Ord>(
    gateway: &Gateway,
    progress: impl Fn(&Heartbeat) -> T,
    own: T,
) -> Vec<SocketAddr> {
    let domain = &gateway.settings().domain;
    let mut res = gateway.peers.borrow().further(gateway.now(), progress, own, domain);
    res.truncate(MAX_CALLED_PEERS);
    res
}

async fn call<T: serde::de::DeserializeOwned>(address: SocketAddr, method: &str) -> Option<T> {
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
