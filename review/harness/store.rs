//! Stand-in of the platform's store.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, read_request};

#[derive(Default, Clone)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, (u64, String)>,
    /// Revision, key and value; a removed key has none.
    events: Vec<(u64, String, Option<String>)>,
    /// Number of the history that the revisions belong to.
    era: u64,
}

/// Content of a store at some moment.
pub struct StoreCopy(StoreState);

/// Handle to a store. Clones refer to the same store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    inner: Arc<Inner>,
    /// Whether this address is not served any more.
    closed: Arc<AtomicBool>,
}

struct Inner {
    state: Mutex<StoreState>,
    changed: Condvar,
    /// Connections that were accepted in an earlier generation are silent.
    generation: AtomicU64,
    is_away: AtomicBool,
}

impl Store {
    pub fn start(ip: &str) -> std::io::Result<Store> {
        let inner = Arc::new(Inner {
            // The revision counter starts above 0.
            state: Mutex::new(StoreState { revision: 100, ..StoreState::default() }),
            changed: Condvar::new(),
            generation: AtomicU64::new(0),
            is_away: AtomicBool::new(false),
        });
        Store::listen(ip, inner)
    }

    /// Serves the same store at a further address.
    pub fn open_address(&self, ip: &str) -> std::io::Result<Store> {
        Store::listen(ip, self.inner.clone())
    }

    /// Ends the service at this address: connections are refused from now on, and open ones end.
    pub fn close_address(&self) {
        self.closed.store(true, Ordering::SeqCst);
        // Wakes the listener, which then ends.
        let _ = TcpStream::connect(self.address);
        self.inner.changed.notify_all();
    }

    fn listen(ip: &str, inner: Arc<Inner>) -> std::io::Result<Store> {
        let listener = TcpListener::bind(format!("{ip}:0"))?;
        let address = listener.local_addr()?;
        let store = Store { address, inner, closed: Arc::default() };
        let handle = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if handle.closed.load(Ordering::SeqCst) {
                    return;
                }
                let handle = handle.clone();
                std::thread::spawn(move || handle.serve(stream));
            }
        });
        Ok(store)
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.inner.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let value = base64(value.as_bytes());
        state.items.insert(key.to_owned(), (revision, value.clone()));
        state.events.push((revision, key.to_owned(), Some(value)));
        self.inner.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.inner.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        state.events.push((revision, key.to_owned(), None));
        self.inner.changed.notify_all();
    }

    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.inner.state.lock().unwrap().clone())
    }

    /// Ends all connections and refuses new requests until [`Store::restore`].
    pub fn go_away(&self) {
        self.inner.is_away.store(true, Ordering::SeqCst);
        self.inner.changed.notify_all();
    }

    /// Comes back with the content of a copy. Revisions after it are given out again.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.inner.state.lock().unwrap();
        let era = state.era + 1;
        *state = StoreState { era, ..copy.0 };
        self.inner.is_away.store(false, Ordering::SeqCst);
        self.inner.changed.notify_all();
    }

    /// Makes all open connections silent for good. New ones work.
    pub fn silence_open_connections(&self) {
        self.inner.generation.fetch_add(1, Ordering::SeqCst);
    }

    fn serve(&self, mut stream: TcpStream) {
        let generation = self.inner.generation.load(Ordering::SeqCst);
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = read_request(&mut stream, &mut buffer) {
            let (status, body) = self.respond(&request);
            if self.closed.load(Ordering::SeqCst) || self.inner.is_away.load(Ordering::SeqCst) {
                return;
            }
            while self.inner.generation.load(Ordering::SeqCst) != generation {
                std::thread::sleep(Duration::from_secs(1));
            }
            let head = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\nstore-era: {}\r\n\
                 content-length: {}\r\n\r\n",
                self.inner.state.lock().unwrap().era,
                body.len()
            );
            if stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Request) -> (u16, String) {
        match request.target.split('?').next().unwrap_or("") {
            "/-/kv-range" => self.range(request),
            "/-/kv-watch" => self.watch(request),
            "/-/kv-key" => self.key(request),
            _ => (404, String::new()),
        }
    }

    fn key(&self, request: &Request) -> (u16, String) {
        let state = self.inner.state.lock().unwrap();
        match state.items.get(request.query("key")) {
            Some((revision, value)) => {
                (200, item(request.query("key"), *revision, value, Some(state.revision)))
            }
            None => (404, String::new()),
        }
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let state = self.inner.state.lock().unwrap();
        let (prefix, after) = (request.query("prefix"), request.query("after"));
        let items: Vec<_> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, (revision, value))| item(key, *revision, value, None))
            .collect();
        let items = items.join(",");
        (200, format!("{{\"items\":[{items}],\"more_pages\":false,\"at\":{}}}", state.revision))
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.inner.state.lock().unwrap();
        loop {
            if after > state.revision {
                return (410, String::new());
            }
            let events: Vec<_> = state
                .events
                .iter()
                .filter(|(revision, key, _)| {
                    *revision > after && key.starts_with(request.query("prefix"))
                })
                .map(|(revision, key, value)| match value {
                    Some(value) => item(key, *revision, value, None),
                    None => format!("{{\"key\":\"{key}\",\"rev\":{revision},\"deleted\":true}}"),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            let is_away = self.inner.is_away.load(Ordering::SeqCst);
            if !events.is_empty() || left.is_zero() || is_away {
                let events = events.join(",");
                return (200, format!("{{\"events\":[{events}],\"at\":{}}}", state.revision));
            }
            state = self.inner.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item(key: &str, revision: u64, value: &str, at: Option<u64>) -> String {
    let at = at.map(|at| format!(",\"at\":{at}")).unwrap_or_default();
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{revision},\
         \"create_revision\":{revision},\"lease\":0{at}}}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * index)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
