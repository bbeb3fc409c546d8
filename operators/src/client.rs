//! Client of the operator port.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use http_types::{Method, Request, StatusCode, Url};
use snafu::{ResultExt, Snafu, ensure};

/// How long the operator port may take to answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Why the operator port gave no answer.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// No connection.
    #[snafu(display("cannot connect to the operator port at {address}: {source}"))]
    Connect {
        /// The address.
        address: SocketAddr,
        /// The error of the connection.
        source: std::io::Error,
    },
    /// The connection broke or the answer is malformed.
    #[snafu(display("no complete answer from the operator port at {address}"))]
    IncompleteResponse {
        /// The address.
        address: SocketAddr,
    },
    /// No answer in time.
    #[snafu(display("the operator port at {address} did not answer within 5 s"))]
    Timeout {
        /// The address.
        address: SocketAddr,
        /// The timeout.
        source: async_std::future::TimeoutError,
    },
    /// The node knows nothing under the path.
    #[snafu(display("the node at {address} has nothing under {path}"))]
    NotFound {
        /// The address.
        address: SocketAddr,
        /// The path.
        path: String,
    },
}

/// Gets `path` from the operator port at `address`. Fails when the node gives no complete answer.
pub async fn fetch(address: SocketAddr, path: &str) -> Result<String, ClientError> {
    timeout(RESPONSE_TIMEOUT, request_text(address, path))
        .await
        .context(TimeoutSnafu { address })?
}

async fn request_text(address: SocketAddr, path: &str) -> Result<String, ClientError> {
    let incomplete = |_| ClientError::IncompleteResponse { address };
    let url = Url::parse(&format!("http://{address}{path}"))
        .map_err(|_| ClientError::NotFound { address, path: path.to_owned() })?;
    let stream = TcpStream::connect(address).await.context(ConnectSnafu { address })?;
    let request = Request::new(Method::Get, url);
    let mut response = async_h1::connect(stream, request).await.map_err(incomplete)?;
    ensure!(response.status() == StatusCode::Ok, NotFoundSnafu { address, path });
    let content_length = response.len();
    let text = response.body_string().await.map_err(incomplete)?;
    // The library returns a body that ends early without an error.
    ensure!(
        content_length.is_none_or(|len| len == text.len()),
        IncompleteResponseSnafu { address }
    );
    Ok(text)
}
