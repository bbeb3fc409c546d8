//! Client of the operator port.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use http_types::{Method, Request, StatusCode, Url};
use snafu::{ResultExt, Snafu, ensure};

/// Time limit for a request to the operator port.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Error of a request to the operator port.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The connection failed.
    #[snafu(display("cannot connect to the operator port at {address}: {source}"))]
    Connect {
        /// Address of the operator port.
        address: SocketAddr,
        /// Error of the connection.
        source: std::io::Error,
    },
    /// The connection was closed early or the response is malformed.
    #[snafu(display("incomplete or malformed response from the operator port at {address}"))]
    IncompleteResponse {
        /// Address of the operator port.
        address: SocketAddr,
    },
    /// The time limit was exceeded.
    #[snafu(display("the operator port at {address} did not answer within 5 s"))]
    Timeout {
        /// Address of the operator port.
        address: SocketAddr,
        /// Error of the timer.
        source: async_std::future::TimeoutError,
    },
    /// The node has no content at the path.
    #[snafu(display("the node at {address} has no content at {path}"))]
    NotFound {
        /// Address of the operator port.
        address: SocketAddr,
        /// Requested path.
        path: String,
    },
}

/// Requests `path` from the operator port at `address` and returns the response body. Fails without a
/// complete response.
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
    // async-h1 does not report an error when the body ends before its content length.
    ensure!(
        content_length.is_none_or(|len| len == text.len()),
        IncompleteResponseSnafu { address }
    );
    Ok(text)
}
