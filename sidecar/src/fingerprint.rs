//! Fingerprints of calls, by which nodes recognise a request that is sent again.

use fescuestack_core::{FingerprintHasher, RequestFingerprint};
use fescuestack_http::BufferedRequest;
use fescuestack_platform::headers::CALLER_SERVICE;
use fescuestack_routing::host_name;
use futures_lite::future;
use http::HeaderName;
use http::header::HOST;

/// Bytes of a body that are hashed before other tasks of the thread get a turn.
const HASH_TURN_BYTES: usize = 64 * 1024;

/// Returns a hash of the host, calling service, method, path and whole body, which do not change when
/// a request is sent again from any VM of its service. `CALLER_SERVICE` must be set.
pub(crate) async fn fingerprint(call: &BufferedRequest) -> RequestFingerprint {
    let text = |name: &HeaderName| {
        call.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
    };
    let host = host_name(text(&HOST));
    let fields = [&*host, text(&CALLER_SERVICE), call.method.as_str(), &call.target];
    let mut hasher = FingerprintHasher::new(&fields);
    for (index, part) in call.body.chunks(HASH_TURN_BYTES).enumerate() {
        if index > 0 {
            future::yield_now().await;
        }
        hasher.update(part);
    }
    hasher.finish()
}
