//! Prints the encoded size of control messages, in bytes, for a fleet of the given size.
//!
//!     message_sizes SERVICES TARGETS

use std::process::ExitCode;
use std::sync::Arc;

use fescuestack_core::{
    MemberEvent, MemberState, PartContent, PeerAddress, PeerMessage, SpreadEvent, VersionDelta,
    VersionHeads, VersionId,
};
use fescuestack_peers::encode_message;
use fescuestack_questionnaire::{
    FleetSize, build_manifest, encode_parts, generate, generate_fleet,
};

/// Seed for the generated fleet, the same as in the benchmarks.
const FLEET_SEED: u64 = 11;

/// Maximum content of a transfer chunk, in bytes.
const MAX_CHUNK_BYTES: usize = 64 * 1024;

fn main() -> ExitCode {
    let sizes: Vec<u32> = std::env::args().skip(1).filter_map(|text| text.parse().ok()).collect();
    let [services, targets] = sizes[..] else {
        eprintln!("usage: message_sizes SERVICES TARGETS");
        return ExitCode::FAILURE;
    };
    let answers = generate_fleet(FleetSize::new(services, targets), FLEET_SEED);
    let parts = encode_parts(&generate(&answers).expect("generated fleets are valid"));
    let version = VersionId::new(70_000, build_manifest(&parts).digest());
    let heads = VersionHeads::new(version, version);
    let events = |count: usize| (0..count).map(member_event).collect::<Vec<_>>();
    let probe = |count| PeerMessage::Probe {
        sequence: 100_000,
        incarnation: 1_700_000_000_000,
        heads: Some(heads),
        events: events(count),
    };
    print_size("probe", &probe(0));
    print_size("probe with 10 events", &probe(10));
    print_size("gossip", &PeerMessage::Gossip { heads, view: u32::MAX });
    let (exceptions, answer) = (u32::MAX, true);
    print_size("gateway-head", &PeerMessage::GatewayHead { heads, exceptions, answer });
    print_pushes("targets/", &parts, version);
    print_pushes("service/", &parts, version);
    print_transfer(&parts);
    ExitCode::SUCCESS
}

fn print_size(label: &str, message: &PeerMessage) {
    let envelope = encode_message(message).expect("messages can be encoded");
    println!("{label}: {}", envelope.payload.len());
}

fn member_event(index: usize) -> SpreadEvent {
    let control = std::net::SocketAddr::from(([10, 20, 30, index as u8], 21_002));
    let name = format!("service-{}-{}", index * 97, index + 1).into();
    let peer = PeerAddress { name, data_centre: "dc-3".into(), control };
    let (incarnation, state) = (1_700_000_000_000 + index as u64, MemberState::Alive);
    SpreadEvent::Member(MemberEvent { peer, incarnation, state })
}

/// Prints the sizes of pushes that change the median and the largest part of a kind.
fn print_pushes(kind: &str, parts: &[PartContent], version: VersionId) {
    let mut parts_of_kind: Vec<&PartContent> =
        parts.iter().filter(|part| part.name.starts_with(kind)).collect();
    parts_of_kind.sort_by_key(|part| part.content.len());
    for (label, part) in [
        ("median", parts_of_kind[parts_of_kind.len() / 2]),
        ("largest", parts_of_kind[parts_of_kind.len() - 1]),
    ] {
        let changed = vec![part.clone()];
        let delta = VersionDelta { from: version, to: version, changed, removed: Vec::new() };
        print_size(
            &format!("push of the {label} {kind} part of {} bytes", part.content.len()),
            &PeerMessage::Push { delta },
        );
    }
}

/// Prints the size of a transfer of all parts. Each chunk is compressed separately.
fn print_transfer(parts: &[PartContent]) {
    let (mut content_bytes, mut encoded_bytes, mut chunks) = (0, 0, 0);
    for part in parts {
        let (hash, total) = (part.hash(), part.content.len() as u32);
        for (index, bytes) in part.content.as_bytes().chunks(MAX_CHUNK_BYTES).enumerate() {
            let content: Arc<str> = String::from_utf8_lossy(bytes).into();
            let offset = (index * MAX_CHUNK_BYTES) as u32;
            let chunk = PeerMessage::Chunk { hash, offset, total, content };
            encoded_bytes += encode_message(&chunk).expect("chunks can be encoded").payload.len();
            content_bytes += bytes.len();
            chunks += 1;
        }
    }
    println!(
        "transfer of {} parts: {content_bytes} bytes, {encoded_bytes} in {chunks} chunks",
        parts.len()
    );
}
