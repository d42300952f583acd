//! A connection that a caller uses for one request after the other.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest time that a whole request may stay without a response.
const RESPONSE_LIMIT: Duration = Duration::from_secs(7);
const BUFFER_BYTES: usize = 4096;

/// A whole response, as far as a caller that keeps its connection needs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptResponse {
    /// HTTP status.
    pub status: u16,
    /// Whether the response says that the connection closes.
    pub closes: bool,
    /// Time for which the connection may be used again, if the response tells one.
    pub promise: Option<Duration>,
    /// The response in lower case.
    pub text: String,
}

/// A caller's connection.
#[derive(Debug)]
pub struct KeptConnection {
    /// The stream of bytes.
    pub stream: TcpStream,
}

impl KeptConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// When nothing listens at the address.
    pub async fn open(address: SocketAddr) -> std::io::Result<Self> {
        Ok(KeptConnection { stream: TcpStream::connect(address).await? })
    }

    /// Sends the bytes of a whole request; `None` if the connection ends without a whole response.
    pub async fn exchange(&mut self, request: &str) -> Option<KeptResponse> {
        self.stream.write_all(request.as_bytes()).await.ok()?;
        self.read_response().await
    }

    /// Reads a whole response whose length is given; `None` if the connection ends before its end.
    pub async fn read_response(&mut self) -> Option<KeptResponse> {
        let reading = async {
            let mut bytes = Vec::new();
            loop {
                if let Some(response) = parse_response(&bytes) {
                    return Some(response);
                }
                let mut part = [0; BUFFER_BYTES];
                match self.stream.read(&mut part).await {
                    Ok(len) if len > 0 => bytes.extend_from_slice(&part[..len]),
                    _ => return None,
                }
            }
        };
        tokio::time::timeout(RESPONSE_LIMIT, reading).await.ok()?
    }

    /// Reports whether the other side closed the connection, as far as that is known here.
    pub fn is_closed(&self) -> bool {
        matches!(self.stream.try_read(&mut [0]), Ok(0))
    }
}

fn parse_response(bytes: &[u8]) -> Option<KeptResponse> {
    let text = String::from_utf8_lossy(bytes).to_ascii_lowercase();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(':'));
        lines.find(|(key, _)| *key == name).map(|(_, value)| value.trim().to_owned())
    };
    let length: usize = header("content-length")?.parse().ok()?;
    if body.len() < length {
        return None;
    }
    let promise =
        header("keep-alive").and_then(|value| value.strip_prefix("timeout=")?.parse().ok());
    let (status, closes) = (
        head.split(' ').nth(1)?.parse().ok()?,
        header("connection").is_some_and(|value| value.contains("close")),
    );
    Some(KeptResponse { status, closes, promise: promise.map(Duration::from_secs), text })
}
