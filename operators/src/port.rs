//! The HTTP server that operators ask.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use futures_lite::StreamExt;
use http_types::{Method, Request, Response, StatusCode, mime};

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// What a node tells its operators. Every answer is text; JSON except for the metrics.
pub trait OperatorEndpoints: Send + Sync + 'static {
    /// Versions, membership and role, as JSON.
    fn status(&self) -> impl Future<Output = Option<String>> + Send;

    /// The decisions taken on a call, as JSON, or `None` when the call is not known any more.
    fn explain(&self, request: &str) -> Option<String>;

    /// The recorded control inputs, as JSON lines.
    fn recording(&self) -> impl Future<Output = Option<String>> + Send;

    /// Metrics in the text format of Prometheus.
    fn metrics(&self) -> Option<String>;
}

/// The operator port of a node.
pub struct OperatorServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl OperatorServer {
    /// Binds the port and serves until it is closed. Fails when the address is in use.
    pub async fn listen(
        address: SocketAddr,
        view: Arc<impl OperatorEndpoints>,
    ) -> io::Result<OperatorServer> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = task::spawn(async move {
            let mut incoming = listener.incoming();
            while let Some(accepted) = incoming.next().await {
                match accepted {
                    Ok(stream) => {
                        task::spawn(serve(stream, view.clone()));
                    }
                    Err(err) => {
                        log::warn!("operator port cannot accept: {err}");
                        // Without a pause, a lack of file descriptors would keep a processor busy.
                        task::sleep(ACCEPT_PAUSE).await;
                    }
                }
            }
        });
        Ok(OperatorServer { address, task })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening.
    pub async fn close(self) {
        self.task.cancel().await;
    }
}

async fn serve(stream: TcpStream, view: Arc<impl OperatorEndpoints>) {
    let answered = async_h1::accept(stream, |request| answer(request, view.clone())).await;
    if let Err(err) = answered {
        log::debug!("operator connection closed: {}", err.status());
    }
}

async fn answer(
    request: Request,
    view: Arc<impl OperatorEndpoints>,
) -> http_types::Result<Response> {
    if request.method() != Method::Get {
        return Ok(Response::new(StatusCode::MethodNotAllowed));
    }
    let path = request.url().path();
    let text = match path {
        "/status" => view.status().await,
        "/recording" => view.recording().await,
        "/metrics" => view.metrics(),
        _ => path.strip_prefix("/explain/").and_then(|id| view.explain(id)),
    };
    let Some(text) = text else {
        return Ok(Response::new(StatusCode::NotFound));
    };
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(text);
    response.set_content_type(if path == "/metrics" { mime::PLAIN } else { mime::JSON });
    Ok(response)
}
