//! Connections between vms, over QUIC with mutual TLS, and the messages that they carry.

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
use crate::settings::TlsFiles;

/// Server name in the certificate of every vm.
pub const PEER_CERTIFICATE_NAME: &str = "carobglade-peer";

/// Maximum size of a message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
const KEEP_ALIVE: Duration = Duration::from_secs(1);
const SEND_WINDOW_BYTES: u64 = 4 << 20;

/// A request to another vm.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerRequest {
    /// Delivers heartbeats, the sender's own first.
    #[serde(rename = "beats")]
    Heartbeats(Vec<Heartbeat>),
    /// Requests loans of tokens.
    #[serde(rename = "ask")]
    RequestLoans {
        /// The borrower.
        vm: VmRef,
        /// The requested loans.
        #[serde(rename = "asks")]
        loan_requests: Vec<LoanRequest>,
    },
    /// Reads a page of a stream of the log.
    #[serde(rename = "read")]
    ReadLog {
        /// Selects the claims stream if true, the control stream otherwise.
        claims: bool,
        /// First offset of the page.
        from: Offset,
    },
    /// Requests snapshots of both streams.
    #[serde(rename = "state")]
    GetSnapshots,
}

/// The reply of another vm.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerReply {
    /// The heartbeats were received.
    #[serde(rename = "taken")]
    Accepted,
    /// Responses to loan requests.
    #[serde(rename = "lent")]
    Loans {
        /// One response for each loan request, in the same order.
        loans: Vec<LoanResponse>,
    },
    /// A page of a stream of the log.
    Page {
        /// The page.
        page: LogPage,
        /// Milliseconds since the sender confirmed the end of the log.
        age: u64,
    },
    /// Snapshots of both streams.
    #[serde(rename = "state")]
    Snapshots {
        /// Snapshot of the control stream.
        control: Option<Snapshot>,
        /// Snapshot of the claims stream.
        claims: Option<Snapshot>,
        /// Milliseconds since the sender confirmed the end of the log.
        age: u64,
        /// Heartbeats of the processes that the sender knows to be alive.
        #[serde(rename = "beats")]
        heartbeats: Vec<Heartbeat>,
    },
    /// The request is invalid or could not be answered; holds the reason.
    Refused(String),
}

impl PeerRequest {
    /// Reports whether the request is sent often, so that the compact encoding is used.
    pub fn is_frequent(&self) -> bool {
        matches!(self, PeerRequest::Heartbeats(_) | PeerRequest::RequestLoans { .. })
    }
}

impl PeerReply {
    /// Reports whether the reply is sent often, so that the compact encoding is used.
    pub fn is_frequent(&self) -> bool {
        matches!(self, PeerReply::Accepted | PeerReply::Loans { .. })
    }
}

/// First byte of a message encoded as JSON.
const JSON_ENCODING: u8 = 0;
/// First byte of a message encoded with postcard.
const POSTCARD_ENCODING: u8 = 1;

/// Encodes a message; a `frequent` one in the compact encoding, others as JSON.
///
/// # Errors
///
/// Fails if the message cannot be serialized.
pub fn encode<T: Serialize>(message: &T, frequent: bool) -> Result<Vec<u8>> {
    if frequent {
        return Ok(postcard::to_extend(message, vec![POSTCARD_ENCODING])?);
    }
    let mut bytes = vec![JSON_ENCODING];
    serde_json::to_writer(&mut bytes, message)?;
    Ok(bytes)
}

/// Decodes a message.
///
/// # Errors
///
/// Fails if the encoding is unknown or the content is not a valid `T`.
pub fn decode<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T> {
    match bytes.split_first() {
        Some((&JSON_ENCODING, rest)) => Ok(serde_json::from_slice(rest)?),
        Some((&POSTCARD_ENCODING, rest)) => Ok(postcard::from_bytes(rest)?),
        _ => Err(eyre!("the message has no known encoding")),
    }
}

/// The QUIC endpoint and its open connections to other vms.
#[derive(Default)]
pub struct PeerTransport {
    endpoint: OnceLock<quinn::Endpoint>,
    connections: tokio::sync::Mutex<std::collections::BTreeMap<SocketAddr, quinn::Connection>>,
}

struct Certificates {
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl Certificates {
    fn read(tls: &TlsFiles) -> Result<Self> {
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
    transport.send_window(SEND_WINDOW_BYTES);
    Ok(transport)
}

impl PeerTransport {
    /// Opens the endpoint on `address`.
    ///
    /// # Errors
    ///
    /// Fails if a certificate cannot be read or the address cannot be bound.
    pub fn open(&self, address: SocketAddr, tls: &TlsFiles) -> Result<()> {
        let certificates = Certificates::read(tls)?;
        let mut endpoint = quinn::Endpoint::server(certificates.server()?, address)
            .wrap_err_with(|| format!("$.listen.peers: {address}"))?;
        endpoint.set_default_client_config(certificates.client()?);
        self.endpoint.set(endpoint).map_err(|_| eyre!("the endpoint is open already"))
    }

    /// Closes the endpoint and all its connections.
    pub fn close(&self) {
        if let Some(endpoint) = self.endpoint.get() {
            endpoint.close(0u32.into(), b"stopping");
        }
    }

    async fn connection(&self, address: SocketAddr) -> Result<quinn::Connection> {
        let mut open = self.connections.lock().await;
        if let Some(connection) = open.get(&address) {
            if connection.close_reason().is_none() {
                return Ok(connection.clone());
            }
            open.remove(&address);
        }
        let endpoint = self.endpoint.get().ok_or_else(|| eyre!("the endpoint is not open"))?;
        drop(open);
        let connection = endpoint.connect(address, PEER_CERTIFICATE_NAME)?.await?;
        self.connections.lock().await.insert(address, connection.clone());
        Ok(connection)
    }

    async fn remove_connection(&self, address: SocketAddr) {
        self.connections.lock().await.remove(&address);
    }

    /// Waits for the next connection from another vm; `None` once the endpoint is closed.
    pub async fn accept(&self) -> Option<quinn::Incoming> {
        self.endpoint.get()?.accept().await
    }

    /// Sends a request to another vm and waits for the reply.
    ///
    /// # Errors
    ///
    /// Fails if the vm cannot be reached or does not reply in time, in which case the next call
    /// opens a new connection, or if the reply cannot be decoded.
    pub async fn call(
        &self,
        metrics: &Metrics,
        address: SocketAddr,
        request: &PeerRequest,
    ) -> Result<PeerReply> {
        let bytes = encode(request, request.is_frequent())?;
        metrics.count_peer_sent(bytes.len() as u64);
        let exchange = async {
            let connection = self.connection(address).await?;
            let (mut send, mut receive) = connection.open_bi().await?;
            send.write_all(&bytes).await?;
            send.finish()?;
            Ok::<_, eyre::Report>(receive.read_to_end(MAX_MESSAGE_BYTES).await?)
        };
        match tokio::time::timeout(CALL_TIMEOUT, exchange).await {
            Ok(Ok(reply)) => {
                metrics.count_peer_received(reply.len() as u64);
                decode(&reply)
            }
            Ok(Err(err)) => {
                self.remove_connection(address).await;
                Err(err)
            }
            Err(_) => {
                self.remove_connection(address).await;
                Err(eyre!("peer {address} did not answer"))
            }
        }
    }
}
