//! A link that can go silent for the connections that it has.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use async_std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use async_std::task;
use futures_lite::{AsyncReadExt, AsyncWriteExt};

/// Forwards connections to an address.
pub struct SilentProxy {
    pub address: SocketAddr,
    epoch: Arc<AtomicU64>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl SilentProxy {
    pub async fn start(target: SocketAddr) -> SilentProxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let epoch = Arc::new(AtomicU64::new(0));
        let streams = Arc::new(Mutex::new(Vec::new()));
        let (current, opened) = (epoch.clone(), streams.clone());
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let born = current.load(Ordering::SeqCst);
                let Ok(upstream) = TcpStream::connect(target).await else { continue };
                stream.set_nodelay(true).unwrap();
                upstream.set_nodelay(true).unwrap();
                opened.lock().unwrap().extend([stream.clone(), upstream.clone()]);
                let (near, far) = (stream.clone(), upstream.clone());
                task::spawn(forward(near, far, born, current.clone()));
                task::spawn(forward(upstream, stream, born, current.clone()));
            }
        });
        SilentProxy { address, epoch, streams }
    }

    /// From now on, connections that exist forward nothing, not even their end.
    pub fn silence(&self) {
        self.epoch.fetch_add(1, Ordering::SeqCst);
    }

    /// Breaks the connections that exist.
    pub fn cut(&self) {
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

async fn forward(mut from: TcpStream, mut to: TcpStream, born: u64, epoch: Arc<AtomicU64>) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let count = from.read(&mut buffer).await.unwrap_or(0);
        if epoch.load(Ordering::SeqCst) != born {
            // Keeps both connections open without a word.
            return std::future::pending().await;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            let _ = to.shutdown(Shutdown::Both);
            return;
        }
    }
}
