//! Stand-in of an application target.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{Request, read_request};
use crate::record;

/// A request that a target began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Duration,
    pub target: String,
    pub service: String,
    pub id: String,
    pub path: String,
}

/// What a target does with a request that it runs.
pub enum Reaction {
    /// Responds with a body of this length after this time.
    Respond { after: Duration, body_bytes: usize },
    /// Responds with a body that never ends, in chunks of one byte, until the caller closes.
    Endless { after: Duration },
    /// Crashes: all connections break, and the target is back after this time.
    Crash { back_after: Duration },
}

type Behaviour = dyn Fn(&Request, usize) -> Reaction + Send + Sync;

/// Handle to a target.
#[derive(Clone)]
pub struct Target {
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    inner: Arc<Inner>,
}

struct Inner {
    id: Mutex<String>,
    runs: Mutex<Vec<Run>>,
    run_count: AtomicUsize,
    is_down: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    behaviour: Box<Behaviour>,
    /// Called when the target is back after a crash.
    on_return: Mutex<Option<Box<dyn Fn() + Send>>>,
}

impl Target {
    /// Starts a target. `behaviour` gets each request that the target runs, with the number of those
    /// before it.
    pub fn start(
        address: SocketAddr,
        id: &str,
        service: &str,
        zone: &str,
        behaviour: impl Fn(&Request, usize) -> Reaction + Send + Sync + 'static,
    ) -> std::io::Result<Target> {
        let inner = Arc::new(Inner {
            id: Mutex::new(id.to_owned()),
            runs: Mutex::default(),
            run_count: AtomicUsize::new(0),
            is_down: AtomicBool::new(false),
            connections: Mutex::default(),
            behaviour: Box::new(behaviour),
            on_return: Mutex::new(None),
        });
        let target = Target { address, service: service.to_owned(), zone: zone.to_owned(), inner };
        target.listen()?;
        Ok(target)
    }

    pub fn id(&self) -> String {
        self.inner.id.lock().unwrap().clone()
    }

    pub fn set_on_return(&self, action: impl Fn() + Send + 'static) {
        *self.inner.on_return.lock().unwrap() = Some(Box::new(action));
    }

    /// The value of the target's entry in the store.
    pub fn entry(&self, state: &str, born_ms: u64, sequence: u64) -> String {
        format!(
            "{{\"address\":\"{}\",\"born\":{born_ms},\"info\":{{\"service\":\"{}\",\
             \"version\":\"v1\",\"zone\":\"{}\",\"capacity\":6}},\"status\":{{\"state\":\"{state}\",\
             \"sequence\":{sequence},\"warmup_left_s\":0}}}}",
            self.address, self.service, self.zone
        )
    }

    pub fn runs(&self) -> Vec<Run> {
        self.inner.runs.lock().unwrap().clone()
    }

    fn listen(&self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        let target = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if target.inner.is_down.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(clone) = stream.try_clone() {
                    target.inner.connections.lock().unwrap().push(clone);
                }
                let target = target.clone();
                std::thread::spawn(move || target.serve(stream));
            }
        });
        Ok(())
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = read_request(&mut stream, &mut buffer) {
            if !self.handle(&mut stream, &request) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }

    /// Handles a request. Returns whether the connection stays open.
    fn handle(&self, stream: &mut TcpStream, request: &Request) -> bool {
        let request_id = request.header("x-fescuestack-request-id").to_owned();
        let (id, expected) = (self.id(), request.header("x-fescuestack-expected-instance"));
        if self.inner.is_down.load(Ordering::SeqCst) {
            return false;
        }
        if !expected.is_empty() && expected != id {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nx-fescuestack-request-id: {request_id}\r\n\
                 x-fescuestack-instance-id: {id}\r\nx-fescuestack-not-executed: 1\r\n\
                 content-length: 0\r\n\r\n"
            );
            return stream.write_all(head.as_bytes()).is_ok();
        }
        let number = self.inner.run_count.fetch_add(1, Ordering::SeqCst);
        self.inner.runs.lock().unwrap().push(Run {
            at: record::now(),
            target: id.clone(),
            service: self.service.clone(),
            id: request_id.clone(),
            path: request.target.clone(),
        });
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-fescuestack-request-id: {request_id}\r\n\
             x-fescuestack-response-signature: {id}.{request_id}\r\n"
        );
        match (self.inner.behaviour)(request, number) {
            Reaction::Respond { after, body_bytes } => {
                std::thread::sleep(after);
                let body = body(body_bytes);
                let head = format!("{head}content-length: {body_bytes}\r\n\r\n");
                stream.write_all(head.as_bytes()).is_ok() && stream.write_all(&body).is_ok()
            }
            Reaction::Endless { after } => {
                std::thread::sleep(after);
                record::line(&format!("target {id} begins an endless body for {request_id}"));
                let head = format!("{head}transfer-encoding: chunked\r\n\r\n");
                let chunks = b"1\r\nx\r\n".repeat(4096);
                let mut sent = 0;
                let mut written = stream.write_all(head.as_bytes());
                while written.is_ok() {
                    written = stream.write_all(&chunks);
                    sent += chunks.len();
                }
                record::line(&format!(
                    "the caller closed the endless body of {request_id} after {sent} bytes"
                ));
                false
            }
            Reaction::Crash { back_after } => {
                self.crash(back_after);
                false
            }
        }
    }

    fn crash(&self, back_after: Duration) {
        record::line(&format!("target {} crashes", self.id()));
        self.inner.is_down.store(true, Ordering::SeqCst);
        // Wakes the listener, which then ends.
        let _ = TcpStream::connect(self.address);
        std::thread::sleep(Duration::from_millis(20));
        for connection in self.inner.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        let target = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(back_after);
            target.inner.is_down.store(false, Ordering::SeqCst);
            while target.listen().is_err() {
                std::thread::sleep(Duration::from_millis(50));
            }
            record::line(&format!("target {} is back", target.id()));
            if let Some(action) = &*target.inner.on_return.lock().unwrap() {
                action();
            }
        });
    }
}

/// The body of a response, from which a client can tell a part from the whole.
pub fn body(length: usize) -> Vec<u8> {
    (0..length).map(|index| b'a' + (index % 23) as u8).collect()
}
