//! HTTP server for operators.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use futures_lite::StreamExt;
use http_types::{Method, Request, Response, StatusCode, mime};

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Contents of the endpoints of the operator port: JSON, except for the metrics. An endpoint without
/// content responds with status 404.
pub trait OperatorEndpoints: Send + Sync + 'static {
    /// Returns the status of the node as JSON.
    fn status(&self) -> impl Future<Output = Option<String>> + Send;

    /// Returns the decisions taken on a call as JSON, or `None` if the call is unknown or no longer kept.
    fn explain(&self, request: &str) -> Option<String>;

    /// Returns the recorded control inputs in JSON Lines format.
    fn recording(&self) -> impl Future<Output = Option<String>> + Send;

    /// Returns the metrics in the Prometheus text format.
    fn metrics(&self) -> Option<String>;
}

/// HTTP server on the operator port of a node.
pub struct OperatorServer {
    address: SocketAddr,
    accept_task: JoinHandle<()>,
}

impl OperatorServer {
    /// Binds the port and starts to serve requests. Fails if the address is not available.
    pub async fn listen(
        address: SocketAddr,
        endpoints: Arc<impl OperatorEndpoints>,
    ) -> io::Result<OperatorServer> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let accept_task = task::spawn(async move {
            let mut incoming = listener.incoming();
            while let Some(accepted) = incoming.next().await {
                match accepted {
                    Ok(stream) => {
                        task::spawn(serve_connection(stream, endpoints.clone()));
                    }
                    Err(err) => {
                        log::warn!("operator port cannot accept a connection: {err}");
                        // Without a delay, accept would fail in a busy loop while no file descriptors are
                        // available.
                        task::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
        });
        Ok(OperatorServer { address, accept_task })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections.
    pub async fn close(self) {
        self.accept_task.cancel().await;
    }
}

async fn serve_connection(stream: TcpStream, endpoints: Arc<impl OperatorEndpoints>) {
    let result = async_h1::accept(stream, |request| respond(request, endpoints.clone())).await;
    if let Err(err) = result {
        log::debug!("operator connection closed: {}", err.status());
    }
}

async fn respond(
    request: Request,
    endpoints: Arc<impl OperatorEndpoints>,
) -> http_types::Result<Response> {
    if request.method() != Method::Get {
        return Ok(Response::new(StatusCode::MethodNotAllowed));
    }
    let path = request.url().path();
    let text = match path {
        "/status" => endpoints.status().await,
        "/recording" => endpoints.recording().await,
        "/metrics" => endpoints.metrics(),
        _ => path.strip_prefix("/explain/").and_then(|id| endpoints.explain(id)),
    };
    let Some(text) = text else {
        return Ok(Response::new(StatusCode::NotFound));
    };
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(text);
    response.set_content_type(if path == "/metrics" { mime::PLAIN } else { mime::JSON });
    Ok(response)
}
