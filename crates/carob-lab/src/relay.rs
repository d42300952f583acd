//! A TCP relay that can be cut or go silent, to fail the connections of one process alone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use carob_net::{Reply, ServeOptions, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const OPEN: u8 = 0;
const CUT: u8 = 1;
const SILENT: u8 = 2; // connections that exist go silent, new ones work
const POLL: Duration = Duration::from_millis(20);

/// Relays `listen` to `target`; `control` takes `/open`, `/cut` and `/silent`.
///
/// # Errors
///
/// When an address cannot be bound.
pub async fn relay(
    listen: SocketAddr,
    target: SocketAddr,
    control: SocketAddr,
) -> std::io::Result<()> {
    let mode = Arc::new(AtomicU8::new(OPEN));
    let epoch = Arc::new(std::sync::atomic::AtomicU64::new(0));
    let (set, bump) = (Arc::clone(&mode), Arc::clone(&epoch));
    let options = ServeOptions { address: control, threads: 1, ..ServeOptions::default() };
    let _server = serve(options, move |request| {
        let value = match request.path() {
            "/cut" => CUT,
            "/silent" => SILENT,
            _ => OPEN,
        };
        if value == SILENT {
            bump.fetch_add(1, Ordering::SeqCst);
        }
        set.store(value, Ordering::SeqCst);
        async { Reply::text(200, "ok") }
    })?;
    let listener = TcpListener::bind(listen).await?;
    loop {
        let (near, _) = listener.accept().await?;
        if mode.load(Ordering::SeqCst) == CUT {
            continue;
        }
        let link = Link {
            mode: Arc::clone(&mode),
            epoch: Arc::clone(&epoch),
            born: epoch.load(Ordering::SeqCst),
        };
        tokio::spawn(async move {
            if let Ok(far) = TcpStream::connect(target).await {
                link.join(near, far).await;
            }
        });
    }
}

#[derive(Clone)]
struct Link {
    mode: Arc<AtomicU8>,
    epoch: Arc<std::sync::atomic::AtomicU64>,
    born: u64,
}

impl Link {
    async fn join(self, near: TcpStream, far: TcpStream) {
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = far.into_split();
        tokio::join!(self.clone().pump(near_in, far_out), self.pump(far_in, near_out));
    }

    fn silent(&self) -> bool {
        self.epoch.load(Ordering::SeqCst) != self.born
    }

    async fn pump(
        self,
        mut from: tokio::net::tcp::OwnedReadHalf,
        mut to: tokio::net::tcp::OwnedWriteHalf,
    ) {
        let mut buf = vec![0; 16 * 1024];
        loop {
            let read = tokio::time::timeout(POLL, from.read(&mut buf)).await;
            if self.mode.load(Ordering::SeqCst) == CUT {
                return;
            }
            match read {
                Err(_) => {}
                Ok(Ok(0) | Err(_)) if self.silent() => std::future::pending().await,
                Ok(Ok(0) | Err(_)) => return,
                Ok(Ok(_)) if self.silent() => {}
                Ok(Ok(n)) => {
                    if to.write_all(&buf[..n]).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}
