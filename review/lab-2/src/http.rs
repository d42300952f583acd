//! A plain HTTP/1.1 client, which tells how far an answer came.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const READ_BYTES: usize = 8192;
const HEAD_END: &[u8] = b"\r\n\r\n";
const LINE_END: &[u8] = b"\r\n";

/// An answer, as far as it came.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The HTTP status; 0 if no head came.
    pub status: u16,
    /// The head.
    pub head: String,
    /// The bytes of the body.
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub whole: bool,
    /// Whether no connection was made.
    pub refused: bool,
}

impl Answer {
    /// Returns the time after which the client may come back, if the answer names one.
    pub fn retry_after(&self) -> Option<Duration> {
        let mut lines = self.head.lines();
        let value = lines.find_map(|line| {
            line.to_ascii_lowercase().strip_prefix("retry-after:").map(str::to_owned)
        })?;
        Duration::try_from_secs_f64(value.trim().parse().ok()?).ok()
    }
}

/// Sends a request over a new connection and reads the answer within `limit`.
pub async fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> Answer {
    let Ok(Ok(mut stream)) = tokio::time::timeout(limit, TcpStream::connect(address)).await else {
        return Answer { refused: true, ..Answer::default() };
    };
    exchange_on(&mut stream, request, limit).await
}

/// Sends a request over a connection and reads the answer within `limit`.
pub async fn exchange_on(stream: &mut TcpStream, request: &[u8], limit: Duration) -> Answer {
    let mut raw = Vec::new();
    let reading = async {
        stream.write_all(request).await?;
        let mut buf = [0; READ_BYTES];
        while !parse(&raw).whole {
            match stream.read(&mut buf).await? {
                0 => break,
                len => raw.extend_from_slice(&buf[..len]),
            }
        }
        Ok::<(), std::io::Error>(())
    };
    // What came before an error or the end of the time is the answer.
    let _ = tokio::time::timeout(limit, reading).await;
    parse(&raw)
}

fn parse(raw: &[u8]) -> Answer {
    let Some(end) = find(raw, HEAD_END) else {
        return Answer::default();
    };
    let head = String::from_utf8_lossy(&raw[..end]).into_owned();
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let rest = &raw[end + HEAD_END.len()..];
    let (body, whole) = match content_length(&head) {
        Some(length) => (rest[..length.min(rest.len())].to_vec(), rest.len() >= length),
        None => decode_chunks(rest),
    };
    Answer { status, head, body, whole, refused: false }
}

fn content_length(head: &str) -> Option<usize> {
    let mut lines = head.lines().map(str::to_ascii_lowercase);
    lines.find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok())
}

/// Returns the bytes of the chunks that came whole, and whether the last one came.
fn decode_chunks(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some(line) = find(rest, LINE_END) {
        let size = std::str::from_utf8(&rest[..line]).unwrap_or_default();
        let Ok(size) = usize::from_str_radix(size, 16) else {
            break;
        };
        if size == 0 {
            return (body, true);
        }
        let start = line + LINE_END.len();
        let Some(chunk) = rest.get(start..start + size) else {
            break;
        };
        body.extend_from_slice(chunk);
        rest = rest.get(start + size + LINE_END.len()..).unwrap_or_default();
    }
    (body, false)
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}
