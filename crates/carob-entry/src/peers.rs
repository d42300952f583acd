//! Messages between vms, over QUIC with certificates on both sides.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use carob_net::LogPage;
use carobglade::{Ask, Heartbeat, Lent, Offset, Snapshot, VmRef, is_large};
use eyre::{Context, Result, eyre};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rand::Rng;
use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use serde::{Deserialize, Serialize};

use crate::append::Stream;
use crate::core::Core;
use crate::planning::PLANNER;
use crate::settings::{Tls, millis};

/// The name that every vm's certificate carries.
pub const PEER_NAME: &str = "carobglade-peer";

const MESSAGE_MAX: usize = 16 << 20; // bytes
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
const KEEP_ALIVE: Duration = Duration::from_secs(1);
const PAGE_MAX: usize = 500; // entries read through a peer at once
const SEND_WINDOW: u64 = 4 << 20; // bytes

/// A message to another vm.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerRequest {
    /// Heartbeats, the sender's own first.
    Beats(Vec<Heartbeat>),
    /// Asks for tokens.
    Ask {
        /// The borrower.
        vm: VmRef,
        /// The asks.
        asks: Vec<Ask>,
    },
    /// Reads a stream of the log.
    Read {
        /// Whether the claims are read, rather than the control stream.
        claims: bool,
        /// From this offset on.
        from: Offset,
    },
    /// Asks for the state of both streams.
    State,
}

/// An answer of another vm.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerReply {
    /// The message was taken.
    Taken,
    /// Loans, one for each ask.
    Lent {
        /// The loans.
        loans: Vec<Lent>,
    },
    /// A page of a stream.
    Page {
        /// The page.
        page: LogPage,
        /// Milliseconds since the sender confirmed the tail.
        age: u64,
    },
    /// The state of both streams.
    State {
        /// The control stream.
        control: Option<Snapshot>,
        /// The claims stream.
        claims: Option<Snapshot>,
        /// Milliseconds since the sender confirmed the tail.
        age: u64,
        /// Heartbeats that the sender knows.
        beats: Vec<Heartbeat>,
    },
    /// The message cannot be answered.
    Refused(String),
}

impl PeerRequest {
    /// Whether the message is sent so often that its size counts.
    fn is_frequent(&self) -> bool {
        matches!(self, PeerRequest::Beats(_) | PeerRequest::Ask { .. })
    }
}

/// The first byte of a message tells its encoding.
const JSON: u8 = 0;
const POSTCARD: u8 = 1;

fn encode<T: Serialize>(message: &T, frequent: bool) -> Result<Vec<u8>> {
    if frequent {
        return Ok(postcard::to_extend(message, vec![POSTCARD])?);
    }
    let mut bytes = vec![JSON];
    serde_json::to_writer(&mut bytes, message)?;
    Ok(bytes)
}

fn decode<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T> {
    match bytes.split_first() {
        Some((&JSON, rest)) => Ok(serde_json::from_slice(rest)?),
        Some((&POSTCARD, rest)) => Ok(postcard::from_bytes(rest)?),
        _ => Err(eyre!("the message has no known encoding")),
    }
}

/// The endpoint and the connections that are open.
#[derive(Default)]
pub struct Links {
    endpoint: OnceLock<quinn::Endpoint>,
    open: tokio::sync::Mutex<std::collections::BTreeMap<SocketAddr, quinn::Connection>>,
}

struct Certificates {
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl Certificates {
    fn read(tls: &Tls) -> Result<Self> {
        let mut roots = RootCertStore::empty();
        let ca = CertificateDer::from_pem_file(&tls.ca).map_err(|err| eyre!("{err}"));
        roots.add(ca.wrap_err_with(|| format!("$.tls.ca: {:?}", tls.ca))?)?;
        let cert = CertificateDer::from_pem_file(&tls.cert).map_err(|err| eyre!("{err}"));
        let cert = cert.wrap_err_with(|| format!("$.tls.cert: {:?}", tls.cert))?;
        let key = PrivateKeyDer::from_pem_file(&tls.key).map_err(|err| eyre!("{err}"));
        let key = key.wrap_err_with(|| format!("$.tls.key: {:?}", tls.key))?;
        Ok(Certificates { roots: Arc::new(roots), chain: vec![cert], key })
    }

    fn server(&self) -> Result<quinn::ServerConfig> {
        let verifier =
            rustls::server::WebPkiClientVerifier::builder(Arc::clone(&self.roots)).build()?;
        let config =
            rustls::ServerConfig::builder_with_protocol_versions(&[&rustls::version::TLS13])
                .with_client_cert_verifier(verifier)
                .with_single_cert(self.chain.clone(), self.key.clone_key())?;
        let mut server =
            quinn::ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(config)?));
        server.transport_config(Arc::new(transport()?));
        Ok(server)
    }

    fn client(&self) -> Result<quinn::ClientConfig> {
        let config =
            rustls::ClientConfig::builder_with_protocol_versions(&[&rustls::version::TLS13])
                .with_root_certificates(Arc::clone(&self.roots))
                .with_client_auth_cert(self.chain.clone(), self.key.clone_key())?;
        let mut client = quinn::ClientConfig::new(Arc::new(QuicClientConfig::try_from(config)?));
        client.transport_config(Arc::new(transport()?));
        Ok(client)
    }
}

fn transport() -> Result<quinn::TransportConfig> {
    let mut transport = quinn::TransportConfig::default();
    transport.max_idle_timeout(Some(IDLE_TIMEOUT.try_into()?));
    transport.keep_alive_interval(Some(KEEP_ALIVE));
    transport.send_window(SEND_WINDOW);
    Ok(transport)
}

impl Links {
    /// Opens the endpoint.
    ///
    /// # Errors
    ///
    /// When a certificate cannot be read or the address cannot be bound.
    pub fn open(&self, address: SocketAddr, tls: &Tls) -> Result<()> {
        let certificates = Certificates::read(tls)?;
        let mut endpoint = quinn::Endpoint::server(certificates.server()?, address)
            .wrap_err_with(|| format!("$.listen.peers: {address}"))?;
        endpoint.set_default_client_config(certificates.client()?);
        self.endpoint.set(endpoint).map_err(|_| eyre!("the endpoint is open already"))
    }

    /// Closes the endpoint.
    pub fn close(&self) {
        if let Some(endpoint) = self.endpoint.get() {
            endpoint.close(0u32.into(), b"stopping");
        }
    }

    async fn connection(&self, address: SocketAddr) -> Result<quinn::Connection> {
        let mut open = self.open.lock().await;
        if let Some(connection) = open.get(&address) {
            if connection.close_reason().is_none() {
                return Ok(connection.clone());
            }
            open.remove(&address);
        }
        let endpoint = self.endpoint.get().ok_or_else(|| eyre!("the endpoint is not open"))?;
        drop(open);
        let connection = endpoint.connect(address, PEER_NAME)?.await?;
        self.open.lock().await.insert(address, connection.clone());
        Ok(connection)
    }

    async fn forget(&self, address: SocketAddr) {
        self.open.lock().await.remove(&address);
    }
}

/// Sends a message to another vm and waits for its answer.
///
/// # Errors
///
/// When no answer comes in time. A connection without an answer is replaced.
pub async fn call(
    core: &Arc<Core>,
    address: SocketAddr,
    request: &PeerRequest,
) -> Result<PeerReply> {
    let bytes = encode(request, request.is_frequent())?;
    core.metrics.peer_sent(bytes.len() as u64);
    let exchange = async {
        let connection = core.links.connection(address).await?;
        let (mut send, mut receive) = connection.open_bi().await?;
        send.write_all(&bytes).await?;
        send.finish()?;
        Ok::<_, eyre::Report>(receive.read_to_end(MESSAGE_MAX).await?)
    };
    match tokio::time::timeout(CALL_TIMEOUT, exchange).await {
        Ok(Ok(reply)) => {
            core.metrics.peer_received(reply.len() as u64);
            decode(&reply)
        }
        Ok(Err(err)) => {
            core.links.forget(address).await;
            Err(err)
        }
        Err(_) => {
            core.links.forget(address).await;
            Err(eyre!("peer {address} did not answer"))
        }
    }
}

/// Answers other vms until the process ends.
pub async fn listen(core: Arc<Core>) {
    let Some(endpoint) = core.links.endpoint.get().cloned() else {
        return;
    };
    while let Some(incoming) = endpoint.accept().await {
        let core = Arc::clone(&core);
        tokio::spawn(async move {
            match incoming.await {
                Ok(connection) => serve_connection(core, connection).await,
                Err(err) => log::debug!("peer: A connection was refused: {err}."),
            }
        });
    }
}

async fn serve_connection(core: Arc<Core>, connection: quinn::Connection) {
    while let Ok((mut send, mut receive)) = connection.accept_bi().await {
        let core = Arc::clone(&core);
        tokio::spawn(async move {
            let Ok(bytes) = receive.read_to_end(MESSAGE_MAX).await else {
                return;
            };
            let reply = match decode::<PeerRequest>(&bytes) {
                Ok(request) => answer(&core, request).await,
                Err(err) => PeerReply::Refused(err.to_string()),
            };
            let frequent = matches!(reply, PeerReply::Taken | PeerReply::Lent { .. });
            if let Ok(reply) = encode(&reply, frequent) {
                let _ = send.write_all(&reply).await;
                let _ = send.finish();
            }
        });
    }
}

async fn answer(core: &Core, request: PeerRequest) -> PeerReply {
    let now = core.now();
    match request {
        PeerRequest::Beats(beats) => {
            let mut inner = core.lock();
            for (i, beat) in beats.into_iter().enumerate().filter(|(_, beat)| beat.vm != core.me) {
                let cold = beat.demand.iter().any(|(_, demand)| demand.waiting > 0);
                if inner.fleet.hear(beat, i > 0, now) && cold {
                    core.planning.notify_one();
                }
            }
            PeerReply::Taken
        }
        PeerRequest::Ask { vm, asks } => {
            let mut inner = core.lock();
            let loans = asks.iter().map(|ask| inner.pool.lend(&vm, ask, now)).collect();
            PeerReply::Lent { loans }
        }
        PeerRequest::Read { claims, from } => read_for_peer(core, claims, from).await,
        PeerRequest::State => {
            let inner = core.lock();
            let age = inner
                .confirmed
                .map_or(u64::MAX / 2, |at| now.saturating_sub(at).as_millis() as u64);
            PeerReply::State {
                control: inner.control.snapshot(),
                claims: inner.claims.snapshot(),
                age,
                beats: inner.fleet.living(now).cloned().collect(),
            }
        }
    }
}

async fn read_for_peer(core: &Core, claims: bool, from: Offset) -> PeerReply {
    let stream = if claims { Stream::Claims } else { Stream::Control };
    let started = core.now();
    let page = core.batcher(stream).client().read(from, Duration::ZERO).await;
    match page {
        Ok(mut page) => {
            page.entries.truncate(PAGE_MAX);
            let age = core.now().saturating_sub(started).as_millis() as u64;
            PeerReply::Page { page, age }
        }
        Err(err) => PeerReply::Refused(err.to_string()),
    }
}

/// Sends heartbeats until the process ends.
pub async fn beat(core: Arc<Core>) {
    loop {
        let large = is_large(core.lock().control.state().members().len());
        let pause = millis(core.settings.times.heartbeat) * if large { 2 } else { 1 };
        let urgent = tokio::time::timeout(pause, core.urgent.notified()).await.is_ok();
        let now = core.now();
        let (addresses, beats) = {
            let mut inner = core.lock();
            update_means(&mut inner);
            let members = inner.others(&core.me);
            inner.fleet.retain(|vm| members.contains(vm));
            let mut random = |n: usize| rand::rng().random_range(0..n);
            let (mut targets, mut beats) = inner.fleet.gossip(&members, now, &mut random);
            let own = inner.heartbeat(&core.me, now);
            core.metrics.state(&own);
            // In a large fleet the planner hears of demand in turn, and at once when one waits.
            let turn = members.len().div_ceil(PLANNER_EACH) as u64;
            if large && (urgent || own.count.is_multiple_of(turn)) {
                targets.extend(inner.fleet.ring(&core.me, now).owner(PLANNER).cloned());
            }
            beats.insert(0, own);
            let targets = targets.iter().filter_map(|vm| inner.member(vm));
            (targets.map(|member| member.peer).collect::<Vec<_>>(), beats)
        };
        for address in addresses {
            let (core, request) = (Arc::clone(&core), PeerRequest::Beats(beats.clone()));
            tokio::spawn(async move {
                if let Err(err) = call(&core, address, &request).await {
                    log::debug!("peer: Heartbeat to {address} failed: {err}.");
                }
            });
        }
    }
}

const PLANNER_EACH: usize = 16; // heartbeats to the planner in each round of a large fleet
const MEAN_WEIGHT: f32 = 0.3; // of the present in the mean of running requests

fn update_means(inner: &mut crate::core::Inner) {
    for used in inner.models.values_mut() {
        used.mean += (used.running as f32 - used.mean) * MEAN_WEIGHT;
    }
}
