//! Opens the connections of the HTTP client.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use http::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use tower_service::Service;

use crate::watched_stream::WatchedStream;

type ConnectError = <HttpConnector as Service<Uri>>::Error;

/// Opens TCP connections that are watched for what arrives before a request.
#[derive(Clone, Debug)]
pub struct WatchedConnector(pub HttpConnector);

impl Service<Uri> for WatchedConnector {
    type Response = TokioIo<WatchedStream>;
    type Error = ConnectError;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, ConnectError>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), ConnectError>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.0.call(uri);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            Ok(TokioIo::new(WatchedStream::new(stream)))
        })
    }
}
