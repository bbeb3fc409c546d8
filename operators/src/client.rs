//! Client of the operator port.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use bytes::Bytes;
use fescuestack_http::{BufferedRequest, ExchangeConnection, ExchangeError};
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use http_types::Url;
use http_types::url::Position;
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
    #[snafu(display(
        "incomplete or malformed response from the operator port at {address}: {reason}"
    ))]
    IncompleteResponse {
        /// Address of the operator port.
        address: SocketAddr,
        /// Description of the underlying error.
        reason: String,
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
    let incomplete = |reason: String| ClientError::IncompleteResponse { address, reason };
    let request = get_request(address, path)
        .ok_or_else(|| ClientError::NotFound { address, path: path.to_owned() })?;
    let exchange = async {
        let mut connection = ExchangeConnection::open(address, RESPONSE_TIMEOUT).await?;
        connection.exchange(&request, None).await
    };
    let response = exchange.await.map_err(|err| match err {
        ExchangeError::NotSent { source } => ClientError::Connect { address, source },
        err => incomplete(err.to_string()),
    })?;
    ensure!(response.status == StatusCode::OK, NotFoundSnafu { address, path });
    String::from_utf8(response.body.to_vec()).map_err(|err| incomplete(err.to_string()))
}

/// Builds the request for `path`, unless that is no valid path.
fn get_request(address: SocketAddr, path: &str) -> Option<BufferedRequest> {
    let url = Url::parse(&format!("http://{address}{path}")).ok()?;
    let target = url[Position::BeforePath..Position::AfterQuery].to_owned();
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::try_from(address.to_string()).ok()?);
    Some(BufferedRequest { method: Method::GET, target, headers, body: Bytes::new() })
}
