//! Decisions on the memory and the connections of peers, without a network.

use fescuestack_core::ClockSpan;
use fescuestack_routing::{
    CloseReason, ConnectionKind, ConnectionLimits, ConnectionPhase, ConnectionProgress,
    ConnectionState, MemoryAccount, MemoryRequest, MemoryStep, ProgressLimits, choose_displaced,
    choose_evictions,
};

const MB: usize = 1 << 20;

fn request(bytes: usize) -> MemoryRequest {
    MemoryRequest { bytes, message_bytes: bytes, waiting_bytes: 0, waited: ClockSpan::ZERO }
}

fn connection(id: u64, phase: ConnectionPhase, bytes: usize, stalled: u64) -> ConnectionState {
    let stalled = ClockSpan::new(stalled);
    let kind = ConnectionKind::Client;
    ConnectionState { id, kind, phase, is_trusted: false, bytes, stalled }
}

/// Guards against refusing a body of the longest legal size on the smallest VM in calm, and against
/// waiting for memory that a VM never has.
#[test]
fn longest_bodies_are_granted_or_refused_at_once() {
    let account = MemoryAccount::new(160 << 20);
    assert_eq!(account.step(MB, request(64 * MB)), MemoryStep::Grant);
    let small = MemoryAccount::new(64 << 20);
    assert_eq!(small.step(0, request(64 * MB)), MemoryStep::Refuse);
}

/// Guards against long requests that leave no room for ordinary ones.
#[test]
fn small_requests_pass_where_long_ones_wait() {
    let account = MemoryAccount::new(160 << 20);
    let used = account.limit() - account.limit() / 10;
    assert_eq!(account.step(used, request(100_000)), MemoryStep::Wait);
    assert_eq!(account.step(used, request(1_000)), MemoryStep::Grant);
    assert_eq!(account.step(account.limit(), request(1_000)), MemoryStep::Wait);
}

/// Guards against a crowd that waits for memory, since what it sends stays in the kernel's buffers,
/// and against a wait without end.
#[test]
fn crowds_and_late_requests_are_refused() {
    let account = MemoryAccount::new(160 << 20);
    let waiting_bytes = account.limit() / 8;
    let crowded = MemoryRequest { waiting_bytes, ..request(100_000) };
    assert_eq!(account.step(account.limit(), crowded), MemoryStep::Refuse);
    let late = MemoryRequest { waited: ClockSpan::new(1_500), ..request(100_000) };
    assert_eq!(account.step(account.limit(), late), MemoryStep::Refuse);
}

/// Guards against closing a single upload that makes progress in place of a crowd that does not, and
/// against closing connections whose request may have run.
#[test]
fn connections_without_progress_are_closed_first() {
    let trusted = ConnectionState {
        is_trusted: true,
        ..connection(6, ConnectionPhase::Body, 64 * MB, 9_000)
    };
    let connections = [
        connection(1, ConnectionPhase::Body, 64 * MB, 40),
        connection(2, ConnectionPhase::Running, 64 * MB, 9_000),
        connection(3, ConnectionPhase::Body, 60_000, 700),
        connection(4, ConnectionPhase::Answer, 300_000, 900),
        connection(5, ConnectionPhase::Body, 60_000, 800),
        trusted,
    ];
    assert_eq!(choose_evictions(&connections, 1), [4]);
    assert_eq!(choose_evictions(&connections, 300_001), [4, 5]);
    assert_eq!(choose_evictions(&connections, usize::MAX), [4, 5, 3]);
    assert!(choose_evictions(&connections, 0).is_empty());
}

/// Guards against freeing memory while there is enough, and against freeing none when requests wait.
#[test]
fn memory_is_freed_under_pressure_only() {
    let account = MemoryAccount::new(160 << 20);
    assert_eq!(account.excess(account.limit() / 2, 0), 0);
    assert!(account.excess(account.limit(), 0) > 0);
    assert!(account.excess(account.limit() / 2, account.limit() / 2) > 0);
}

/// Guards against connections of peers that take the descriptors of targets, nodes and the store.
#[test]
fn descriptors_are_left_for_outgoing_connections() {
    use ConnectionKind::{Client, Node, Ready};
    let limits = ConnectionLimits::new(Some(4_100));
    let sum: usize = [Client, Node, Ready].map(|kind| limits.limit(kind)).iter().sum();
    assert!(sum <= 3_900 - 700, "{sum}");
    assert!(ConnectionLimits::new(Some(0)).limit(Ready) > 0);
}

/// Guards against closing a connection that serves a request when an idle one could be closed.
#[test]
fn idle_connections_are_displaced_first() {
    let mut connections = vec![
        connection(1, ConnectionPhase::Running, 0, 9_000),
        connection(2, ConnectionPhase::Body, 0, 5_000),
        connection(3, ConnectionPhase::Idle, 0, 100),
        connection(4, ConnectionPhase::Idle, 0, 200),
    ];
    assert_eq!(choose_displaced(ConnectionKind::Ready, &connections), None);
    for expected in [Some(4), Some(3), Some(2), None] {
        let chosen = choose_displaced(ConnectionKind::Client, &connections);
        assert_eq!(chosen, expected);
        connections.retain(|connection| Some(connection.id) != chosen);
    }
}

/// Guards against clients that occupy a connection with a few bytes now and then, and against closing
/// a client whose request runs for long.
#[test]
fn slow_clients_are_found() {
    let limits = ProgressLimits {
        head_timeout: ClockSpan::new(5_000),
        body_bytes: 10_240,
        answer_bytes: 10_240,
        window: ClockSpan::new(10_000),
    };
    let check = |phase, elapsed, read_bytes, written_bytes| {
        let elapsed = ClockSpan::new(elapsed);
        limits.violation(ConnectionProgress { phase, elapsed, read_bytes, written_bytes })
    };
    assert_eq!(check(ConnectionPhase::Head, 4_999, 10, 0), None);
    assert_eq!(check(ConnectionPhase::Head, 5_000, 10, 0), Some(CloseReason::HeadLate));
    assert_eq!(check(ConnectionPhase::Body, 9_999, 0, 0), None);
    assert_eq!(check(ConnectionPhase::Body, 10_000, 10_239, 0), Some(CloseReason::BodySlow));
    assert_eq!(check(ConnectionPhase::Body, 10_000, 10_240, 0), None);
    assert_eq!(check(ConnectionPhase::Answer, 10_000, 0, 100), Some(CloseReason::AnswerSlow));
    assert_eq!(check(ConnectionPhase::Running, 60_000, 0, 0), None);
    assert_eq!(check(ConnectionPhase::Idle, 60_000, 0, 0), None);
}

/// Guards against receive buffers that hold more than the memory of the VM when a crowd opens all
/// connections that its descriptors allow: 2,437 of 43 KB took 105 MB of 160.
#[test]
fn receive_buffers_of_all_connections_fit_the_memory() {
    for (memory_mb, descriptors) in [(48, 2_200), (160, 4_100), (160, 8_192), (512, 8_192)] {
        let account = MemoryAccount::new(memory_mb << 20);
        let max_open = ConnectionLimits::new(Some(descriptors)).limit(ConnectionKind::Client);
        let buffers = (0..max_open).map(|open| account.receive_buffer(open, max_open));
        let held: usize = buffers.map(|bytes| 2 * bytes).sum();
        let left = (memory_mb as usize) * MB / 16 * 5;
        assert!(
            held <= left,
            "{held} bytes of {left} with {memory_mb} MB, {descriptors} descriptors"
        );
        assert_eq!(account.receive_buffer(0, max_open), 32 * 1024, "small in calm");
    }
}
