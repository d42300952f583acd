//! Requests of clients.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use carob_net::{HttpClient, HttpResponse, StreamingResponse};
use http::{HeaderMap, HeaderName, HeaderValue, Method};

use crate::Result;
use crate::site::HOST;

/// Returns a new request id.
pub fn new_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// A request to one machine.
pub struct Call<'a> {
    /// The machine's address.
    pub to: SocketAddr,
    /// The path.
    pub path: &'a str,
    /// The id.
    pub id: &'a str,
    /// The key.
    pub key: &'a str,
    /// Time that the client waits.
    pub deadline: Duration,
    /// Further headers.
    pub headers: &'a [(&'a str, &'a str)],
}

impl Call<'_> {
    fn header_map(&self) -> Result<HeaderMap> {
        let deadline = self.deadline.as_millis().to_string();
        let own = [
            ("host", HOST),
            ("request-id", self.id),
            ("key", self.key),
            ("deadline-ms", deadline.as_str()),
        ];
        let mut headers = HeaderMap::new();
        for (name, value) in own.iter().chain(self.headers) {
            headers.insert(HeaderName::from_bytes(name.as_bytes())?, HeaderValue::from_str(value)?);
        }
        Ok(headers)
    }

    /// Sends the request, and returns the response while its body arrives.
    ///
    /// # Errors
    ///
    /// When no response begins.
    pub async fn open(&self, client: &HttpClient) -> Result<StreamingResponse> {
        let (url, body) = (format!("http://{}{}", self.to, self.path), Bytes::from_static(b"body"));
        let opened = client.send(Method::POST, &url, self.header_map()?, body, self.deadline).await;
        opened.map_err(|err| err.to_string().into())
    }

    /// Sends the request and reads the whole response.
    ///
    /// # Errors
    ///
    /// When there is no whole response.
    pub async fn send(&self, client: &HttpClient) -> Result<HttpResponse> {
        let opened = self.open(client).await?;
        opened.read_to_end(self.deadline).await.map_err(|err| err.to_string().into())
    }
}
