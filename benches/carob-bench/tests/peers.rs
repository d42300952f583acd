//! Unauthenticated clients get no response on the peer port, and malformed messages change no
//! state.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use carob_bench::config::api_key;
use carob_bench::{Client, Fleet, FleetOptions};
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use quinn::crypto::rustls::QuicClientConfig;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};

const SERVER_NAME: &str = "carobglade-peer";
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns a client endpoint that trusts the certificate authority of the fleet and presents the
/// certificate in the directory `identity`, if it is given.
fn endpoint(fleet: &Path, identity: Option<&Path>) -> quinn::Endpoint {
    let _ = rustls::crypto::ring::default_provider().install_default();
    let mut roots = rustls::RootCertStore::empty();
    roots.add(CertificateDer::from_pem_file(fleet.join("ca.pem")).unwrap()).unwrap();
    let builder = rustls::ClientConfig::builder_with_protocol_versions(&[&rustls::version::TLS13])
        .with_root_certificates(roots);
    let config = match identity {
        Some(identity) => {
            let cert = CertificateDer::from_pem_file(identity.join("vm.pem")).unwrap();
            let key = PrivateKeyDer::from_pem_file(identity.join("vm.key")).unwrap();
            builder.with_client_auth_cert(vec![cert], key).unwrap()
        }
        None => builder.with_no_client_auth(),
    };
    let mut endpoint = quinn::Endpoint::client(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let client = QuicClientConfig::try_from(config).unwrap();
    endpoint.set_default_client_config(quinn::ClientConfig::new(Arc::new(client)));
    endpoint
}

async fn exchange(connection: &quinn::Connection, bytes: &[u8]) -> Option<Vec<u8>> {
    let (mut send, mut receive) = connection.open_bi().await.ok()?;
    send.write_all(bytes).await.ok()?;
    send.finish().ok()?;
    receive.read_to_end(1 << 20).await.ok()
}

/// Reports whether a message gets a response.
async fn gets_response(endpoint: &quinn::Endpoint, address: SocketAddr, bytes: &[u8]) -> bool {
    let exchange_bytes = async {
        let connection = endpoint.connect(address, SERVER_NAME).ok()?.await.ok()?;
        exchange(&connection, bytes).await
    };
    tokio::time::timeout(RESPONSE_TIMEOUT, exchange_bytes).await.ok().flatten().is_some()
}

#[tokio::test(flavor = "multi_thread")]
async fn unauthenticated_peers_get_no_response() {
    let fleet = Fleet::start(FleetOptions { vms: 1, ..FleetOptions::default() }).await.unwrap();
    let other = fleet.dir.path().join("other");
    let result =
        fleet.run_program("carobctl", &["cert", &other.display().to_string()]).await.unwrap();
    assert_eq!(result.0, 0);
    let (tls, peer) = (fleet.dir.path().join("tls"), fleet.vms[0].peer_address);
    let state = b"\x00\"state\"";
    assert!(
        gets_response(&endpoint(&tls, Some(&tls)), peer, state).await,
        "certificate of the fleet"
    );
    assert!(!gets_response(&endpoint(&tls, None), peer, state).await, "no certificate");
    assert!(
        !gets_response(&endpoint(&tls, Some(&other)), peer, state).await,
        "certificate of another authority"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_messages_do_not_change_the_state() {
    let fleet = Fleet::start(FleetOptions { vms: 1, ..FleetOptions::default() }).await.unwrap();
    let tls = fleet.dir.path().join("tls");
    let endpoint = endpoint(&tls, Some(&tls));
    let connection =
        endpoint.connect(fleet.vms[0].peer_address, SERVER_NAME).unwrap().await.unwrap();
    let before = fleet.status(0).await.unwrap();
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let bytes = proptest::collection::vec(proptest::num::u8::ANY, 0..200);
    for i in 0..400u32 {
        let mut message = bytes.new_tree(&mut runner).unwrap().current();
        message.insert(0, (i % 3) as u8);
        let reply = tokio::time::timeout(RESPONSE_TIMEOUT, exchange(&connection, &message)).await;
        assert!(reply.is_ok(), "message {i} got no response in time");
    }
    let after = fleet.status(0).await.unwrap();
    assert_eq!((&before["version"], &before["slots"]), (&after["version"], &after["slots"]));
    let client = Client::unpooled(&api_key("crew"));
    assert_eq!(client.chat(fleet.caller_address(0), "planner", "on", 2, false).await.status, 200);
}
