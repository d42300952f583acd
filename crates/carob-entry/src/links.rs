//! Connections between vms, over QUIC with certificates on both sides, and what they carry.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use carob_net::LogPage;
use carobglade::{Heartbeat, LoanRequest, LoanResponse, Offset, Snapshot, VmRef};
use eyre::{Context, Result, eyre};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use serde::{Deserialize, Serialize};

use crate::metrics::Metrics;
use crate::settings::Tls;

/// The name that every vm's certificate carries.
pub const PEER_NAME: &str = "carobglade-peer";

/// Longest message, in bytes.
pub const MESSAGE_MAX: usize = 16 << 20;
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
const KEEP_ALIVE: Duration = Duration::from_secs(1);
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
        asks: Vec<LoanRequest>,
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
        loans: Vec<LoanResponse>,
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
    pub fn is_frequent(&self) -> bool {
        matches!(self, PeerRequest::Beats(_) | PeerRequest::Ask { .. })
    }
}

impl PeerReply {
    /// Whether the answer is sent so often that its size counts.
    pub fn is_frequent(&self) -> bool {
        matches!(self, PeerReply::Taken | PeerReply::Lent { .. })
    }
}

/// The first byte of a message tells its encoding.
const JSON: u8 = 0;
const POSTCARD: u8 = 1;

/// Writes a message.
///
/// # Errors
///
/// When it cannot be written.
pub fn encode<T: Serialize>(message: &T, frequent: bool) -> Result<Vec<u8>> {
    if frequent {
        return Ok(postcard::to_extend(message, vec![POSTCARD])?);
    }
    let mut bytes = vec![JSON];
    serde_json::to_writer(&mut bytes, message)?;
    Ok(bytes)
}

/// Reads a message.
///
/// # Errors
///
/// When it has no known encoding or does not hold what is expected.
pub fn decode<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T> {
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

    /// The next connection of another vm; none when the endpoint is closed.
    pub async fn accept(&self) -> Option<quinn::Incoming> {
        self.endpoint.get()?.accept().await
    }

    /// Sends a message to another vm and waits for its answer.
    ///
    /// # Errors
    ///
    /// When no answer comes in time. A connection without an answer is replaced.
    pub async fn call(
        &self,
        metrics: &Metrics,
        address: SocketAddr,
        request: &PeerRequest,
    ) -> Result<PeerReply> {
        let bytes = encode(request, request.is_frequent())?;
        metrics.peer_sent(bytes.len() as u64);
        let exchange = async {
            let connection = self.connection(address).await?;
            let (mut send, mut receive) = connection.open_bi().await?;
            send.write_all(&bytes).await?;
            send.finish()?;
            Ok::<_, eyre::Report>(receive.read_to_end(MESSAGE_MAX).await?)
        };
        match tokio::time::timeout(CALL_TIMEOUT, exchange).await {
            Ok(Ok(reply)) => {
                metrics.peer_received(reply.len() as u64);
                decode(&reply)
            }
            Ok(Err(err)) => {
                self.forget(address).await;
                Err(err)
            }
            Err(_) => {
                self.forget(address).await;
                Err(eyre!("peer {address} did not answer"))
            }
        }
    }
}
