//! A client of event streams that abandons a silent one and takes it up at another machine.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, bail};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const HEAD_END: &[u8] = b"\r\n\r\n";
const LAST_CHUNK: &[u8] = b"\r\n0\r\n\r\n";

/// A request for a stream.
#[derive(Clone, Debug)]
pub struct StreamRequest {
    /// Path, with the prefix of its route.
    pub path: String,
    /// Id of this client attempt.
    pub id: String,
    /// Time that the client still waits.
    pub deadline: Duration,
    /// Parts of the prompt.
    pub prompt: String,
    /// The last event that the client has, and the id of the attempt that brought the first.
    pub resumes: Option<(u64, String)>,
}

impl StreamRequest {
    fn encode(&self) -> String {
        let resumption = self.resumes.as_ref().map_or(String::new(), |(last, id)| {
            format!("last-event-id: {last}\r\nresumes: {id}\r\n")
        });
        format!(
            "POST {} HTTP/1.1\r\nhost: site.example\r\nkey: key-one\r\nrequest-id: {}\r\ndeadline-ms: {}\r\n\
             model: large\r\ntoken-usage: 400,90\r\nprompt-prefix: {}\r\n{resumption}content-length: 4\r\n\r\nbody",
            self.path,
            self.id,
            self.deadline.as_millis(),
            self.prompt
        )
    }
}

/// An answer that is read as it arrives.
pub struct StreamAnswer {
    stream: TcpStream,
    text: Vec<u8>,
}

/// How the reading of a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The answer is complete.
    Whole,
    /// The connection ended or was reset before that.
    Broken,
    /// Nothing came for too long.
    Silent,
    /// The number of events that was asked for has arrived.
    Enough,
}

impl StreamAnswer {
    /// Sends a request over a new connection.
    ///
    /// # Errors
    ///
    /// When there is no connection.
    pub async fn open(address: SocketAddr, request: &StreamRequest) -> Result<Self> {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(request.encode().as_bytes()).await?;
        Ok(StreamAnswer { stream, text: Vec::new() })
    }

    /// Reads until the answer ends, nothing comes for `gap`, or `count` events are there.
    pub async fn read(&mut self, gap: Duration, count: usize) -> StreamEnd {
        loop {
            if self.ids().len() >= count {
                return StreamEnd::Enough;
            }
            if self.is_whole() {
                return StreamEnd::Whole;
            }
            let mut buf = [0; 4096];
            match tokio::time::timeout(gap, self.stream.read(&mut buf)).await {
                Err(_) => return StreamEnd::Silent,
                Ok(Ok(len)) if len > 0 => self.text.extend_from_slice(&buf[..len]),
                Ok(_) => return StreamEnd::Broken,
            }
        }
    }

    /// Returns the status.
    ///
    /// # Errors
    ///
    /// When no head has arrived.
    pub fn status(&self) -> Result<u16> {
        if self.head_end().is_none() {
            bail!("no answer has begun");
        }
        Ok(std::str::from_utf8(&self.text[9..12])?.parse()?)
    }

    fn head_end(&self) -> Option<usize> {
        self.text.windows(HEAD_END.len()).position(|window| window == HEAD_END)
    }

    /// Reports whether the answer is complete.
    fn is_whole(&self) -> bool {
        let Some(end) = self.head_end() else {
            return false;
        };
        let head = String::from_utf8_lossy(&self.text[..end]).to_ascii_lowercase();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
        match length.and_then(|value| value.trim().parse::<usize>().ok()) {
            Some(length) => self.text.len() >= end + HEAD_END.len() + length,
            None => self.text.ends_with(LAST_CHUNK),
        }
    }

    /// Returns the ids of the events that arrived, in order.
    pub fn ids(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.text);
        text.lines().filter_map(|line| line.strip_prefix("id: ")?.trim().parse().ok()).collect()
    }

    /// Returns the software versions that the events name, each once.
    pub fn versions(&self) -> Vec<String> {
        let text = String::from_utf8_lossy(&self.text);
        let named = text.lines().filter_map(|line| line.strip_prefix("data: ")?.split_once(" of "));
        let mut versions: Vec<String> = named.map(|(_, version)| version.to_owned()).collect();
        versions.dedup();
        versions
    }
}
