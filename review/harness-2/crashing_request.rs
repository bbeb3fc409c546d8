//! Requests that crash the targets that run them, beside sound requests that resemble them.

use std::collections::HashSet;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::{
    answer_bytes, has_trouble, request_head, send_once, After, Fleet, Place, Route, SERVICE,
};

/// The service of the last two machines.
const OTHER_SERVICE: &str = "xano55b";

fn places() -> Vec<Place> {
    let own = ["caerdydd", "caerdydd", "abertawe", "abertawe"].map(|zone| (zone, SERVICE));
    let other = ["caerdydd", "abertawe"].map(|zone| (zone, OTHER_SERVICE));
    own.iter().chain(&other).map(|(zone, service)| Place::new(zone, service)).collect()
}

/// Machines on which the crashing requests begin, in turn, and those of the other service.
const OWN: [usize; 4] = [0, 1, 2, 3];
const OTHER: [usize; 2] = [4, 5];

/// Length of a body, and of the part of it that is the same in all bodies.
const BODY_BYTES: usize = 12_000;
const COMMON_BYTES: usize = 8_000;

/// Time between two tries of a crashing request, and their number.
const GAP: Duration = Duration::from_millis(3_500);
const TRIES: usize = 9;

/// `contact_s` of the rule, and the number of further retries that it allows.
const CONTACT: Duration = Duration::from_secs(3);
const ALLOWED: usize = 3;

/// A crashing request, and sound ones that differ from it.
#[derive(Clone, Copy)]
struct Pair {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    has_body: bool,
    /// Machines on which the sound requests begin.
    sound_from: &'static [usize],
}

/// The crashing request comes from machines of the service, the sound ones from those of another one.
const CALLERS: Pair = Pair {
    name: "caller",
    method: "GET",
    path: "/lohu930/2f",
    has_body: false,
    sound_from: &OTHER,
};

/// The bodies differ in their last third.
const BODIES: Pair =
    Pair { name: "body", method: "POST", path: "/pufi791/2f", has_body: true, sound_from: &OWN };

impl Pair {
    fn bytes(&self, id: &str, is_sound: bool) -> Vec<u8> {
        if !self.has_body {
            return request_head(self.method, self.path, id, 2_000, "");
        }
        let mut body = vec![b'a'; COMMON_BYTES];
        body.resize(BODY_BYTES, if is_sound { b's' } else { b'c' });
        let fields = format!("Content-Length: {BODY_BYTES}\r\n");
        [request_head(self.method, self.path, id, 2_000, &fields), body].concat()
    }
}

/// Returns how many tries reached a target later than [`CONTACT`] after the third crash.
fn play(
    fleet: &Fleet,
    pair: Pair,
    crashes: &Mutex<Vec<(String, Instant)>>,
) -> Result<usize, String> {
    let is_over = Arc::new(AtomicBool::new(false));
    let mut sound = None;
    if std::env::var("SOUND").as_deref() != Ok("0") {
        let addresses: Vec<_> =
            pair.sound_from.iter().map(|&machine| fleet.network.outbound(machine)).collect();
        let (record, is_over) = (fleet.record.clone(), is_over.clone());
        sound = Some(thread::spawn(move || {
            let mut served = 0;
            for number in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    break;
                }
                let id = format!("{}-sound-{number}", pair.name);
                let address = addresses[number % addresses.len()];
                let answer = send_once(address, &pair.bytes(&id, true), Duration::from_secs(3));
                let status = answer.map_or(0, |answer| answer.status);
                served += usize::from(status == 200);
                record.line(&format!("client {id}: answered {status}"));
                thread::sleep(Duration::from_millis(80));
            }
            served
        }));
    }
    thread::sleep(Duration::from_secs(3));
    let mut sent = Vec::new();
    for number in 0..TRIES {
        if has_trouble() {
            let id = format!("{}-crash-{number}", pair.name);
            let address = fleet.network.outbound(OWN[number % OWN.len()]);
            sent.push((id.clone(), Instant::now()));
            let answer = send_once(address, &pair.bytes(&id, false), Duration::from_secs(3));
            let status = answer.map_or(0, |answer| answer.status);
            fleet.record.line(&format!("client {id}: answered {status}"));
        }
        thread::sleep(GAP);
    }
    is_over.store(true, Ordering::SeqCst);
    let served = match sound {
        Some(sound) => sound.join().map_err(|_| "a client failed")?,
        None => 0,
    };
    let crashes = crashes.lock().unwrap();
    let own_crashes: Vec<_> =
        crashes.iter().filter(|(id, _)| id.starts_with(pair.name)).map(|(_, at)| *at).collect();
    let mut late = 0;
    if let Some(third) = own_crashes.get(2) {
        let runs = fleet.runs.lock().unwrap();
        let reached: HashSet<_> = runs.iter().map(|run| run.id.as_str()).collect();
        let is_late =
            |(id, at): &&(String, Instant)| *at > *third + CONTACT && reached.contains(id.as_str());
        late = sent.iter().filter(is_late).count();
    }
    let line = format!(
        "{}: {served} sound requests served; {} crashes; {late} tries reached a target later than 3 s after \
         the third crash",
        pair.name,
        own_crashes.len()
    );
    fleet.record.line(&line);
    println!("{line}");
    Ok(late)
}

pub fn run() -> Result<bool, String> {
    let route = |name, prefix, route_type| Route {
        name,
        prefix,
        route_type,
        service: SERVICE,
        aim_s: 0.5,
        timeout_s: 1.0,
        priority: 1,
    };
    let routes = [route("r-look", "/lohu930/", "safe"), route("r-pay", "/pufi791/", "unsafe")];
    let crashes: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let seen = crashes.clone();
    let mut fleet = Fleet::start_on(places(), &routes, move |request, stream| {
        // What crashes a target is known by its path, caller and body.
        let crashes_target = if request.path == CALLERS.path {
            request.header("x-fescuestack-caller-service") == Some(SERVICE)
        } else {
            request.body.last() == Some(&b'c')
        };
        if crashes_target {
            let id = request.header("x-fescuestack-request-id").unwrap_or("");
            seen.lock().unwrap().push((id.to_owned(), Instant::now()));
            return After::Crash;
        }
        After::from(stream.write_all(&answer_bytes(200, request, "", b"ok")).is_ok())
    })?;
    let mut is_broken = false;
    for pair in [CALLERS, BODIES] {
        is_broken |= play(&fleet, pair, &crashes)? > ALLOWED;
    }
    fleet.check_nodes()?;
    Ok(is_broken)
}
