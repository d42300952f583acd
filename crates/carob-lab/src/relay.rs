//! A TCP relay that can drop connections or stop forwarding, to fail the connections of a single
//! process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use carob_net::{Reply, ServeOptions, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const OPEN: u8 = 0;
const CUT: u8 = 1;
const SILENT: u8 = 2; // existing connections stop forwarding, new ones work
const MODE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Relays connections from `listen` to `target`. Requests to `control` set the mode: `/open`
/// forwards all connections, `/cut` closes existing and new connections, `/silent` stops forwarding
/// on the connections that exist.
///
/// # Errors
///
/// Returns an error when an address cannot be bound.
pub async fn run_relay(
    listen: SocketAddr,
    target: SocketAddr,
    control: SocketAddr,
) -> std::io::Result<()> {
    let mode = Arc::new(AtomicU8::new(OPEN));
    let epoch = Arc::new(std::sync::atomic::AtomicU64::new(0));
    let (set_mode, silence_epoch) = (Arc::clone(&mode), Arc::clone(&epoch));
    let options = ServeOptions { address: control, threads: 1, ..ServeOptions::default() };
    let _server = serve(options, move |request| {
        let value = match request.path() {
            "/cut" => CUT,
            "/silent" => SILENT,
            _ => OPEN,
        };
        if value == SILENT {
            silence_epoch.fetch_add(1, Ordering::SeqCst);
        }
        set_mode.store(value, Ordering::SeqCst);
        async { Reply::text(200, "ok") }
    })?;
    let listener = TcpListener::bind(listen).await?;
    loop {
        let (inbound, _) = listener.accept().await?;
        if mode.load(Ordering::SeqCst) == CUT {
            continue;
        }
        let connection = RelayedConnection {
            mode: Arc::clone(&mode),
            epoch: Arc::clone(&epoch),
            accepted_epoch: epoch.load(Ordering::SeqCst),
        };
        tokio::spawn(async move {
            if let Ok(outbound) = TcpStream::connect(target).await {
                connection.run(inbound, outbound).await;
            }
        });
    }
}

#[derive(Clone)]
struct RelayedConnection {
    mode: Arc<AtomicU8>,
    epoch: Arc<std::sync::atomic::AtomicU64>,
    accepted_epoch: u64,
}

impl RelayedConnection {
    async fn run(self, inbound: TcpStream, outbound: TcpStream) {
        let (inbound_read, inbound_write) = inbound.into_split();
        let (outbound_read, outbound_write) = outbound.into_split();
        tokio::join!(
            self.clone().copy(inbound_read, outbound_write),
            self.copy(outbound_read, inbound_write)
        );
    }

    /// Reports whether `/silent` was requested after the connection was accepted.
    fn is_silenced(&self) -> bool {
        self.epoch.load(Ordering::SeqCst) != self.accepted_epoch
    }

    /// Copies bytes from `from` to `to` until `from` ends, `to` fails or the mode is `CUT`. A
    /// silenced connection discards what it reads and stays open.
    async fn copy(
        self,
        mut from: tokio::net::tcp::OwnedReadHalf,
        mut to: tokio::net::tcp::OwnedWriteHalf,
    ) {
        let mut buf = vec![0; 16 * 1024];
        loop {
            let read = tokio::time::timeout(MODE_POLL_INTERVAL, from.read(&mut buf)).await;
            if self.mode.load(Ordering::SeqCst) == CUT {
                return;
            }
            match read {
                Err(_) => {}
                Ok(Ok(0) | Err(_)) if self.is_silenced() => std::future::pending().await,
                Ok(Ok(0) | Err(_)) => return,
                Ok(Ok(_)) if self.is_silenced() => {}
                Ok(Ok(n)) => {
                    if to.write_all(&buf[..n]).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}
