//! Random inputs for the parsers, from fixed seeds.

use async_std::task;
use fescuestack_http::{
    ChunkParser, HttpFault, ParseSchedule, find_head_end, parse_decimal, parse_head,
};
use futures_lite::io::Cursor;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Decodes a chunked body that arrives in pieces of these sizes. Returns the data, whether the body
/// has ended, and the number of bytes consumed.
fn decode(encoded: &[u8], pieces: &[usize]) -> Result<(Vec<u8>, bool, usize), HttpFault> {
    let mut scanner = ChunkParser::new();
    let (mut data, mut read) = (Vec::new(), 0);
    for piece in pieces.iter().cycle() {
        let end = (read + piece).min(encoded.len());
        while read < end && !scanner.is_done() {
            read += scanner.parse_framing(&encoded[read..end])?;
            let count = (scanner.remaining_data() as usize).min(end - read);
            data.extend_from_slice(&encoded[read..read + count]);
            scanner.consume_data(count as u64);
            read += count;
        }
        if scanner.is_done() || read == encoded.len() {
            break;
        }
    }
    Ok((data, scanner.is_done(), read))
}

/// Guards against results that depend on how the input is split, and against detecting the end of a
/// body too early.
#[test]
fn chunks_are_found_in_any_pieces() {
    let mut rng = Pcg32::seed_from_u64(1);
    for case in 0..500 {
        let (mut encoded, mut expected) = (Vec::new(), Vec::new());
        for _ in 0..rng.random_range(0..5) {
            let chunk: Vec<u8> = (0..rng.random_range(1..40)).map(|_| rng.random()).collect();
            let extension = if rng.random() { ";name=value" } else { "" };
            encoded.extend(format!("{:x}{extension}\r\n", chunk.len()).bytes());
            encoded.extend(&chunk);
            encoded.extend(b"\r\n");
            expected.extend(chunk);
        }
        encoded.extend(if rng.random() { &b"0\r\n\r\n"[..] } else { b"0\r\nname: value\r\n\r\n" });
        let pieces: Vec<usize> = (0..7).map(|_| rng.random_range(1..20)).collect();
        let mut followed = encoded.clone();
        followed.extend(b"GET / HTTP/1.1\r\n");
        let result = decode(&followed, &pieces).unwrap();
        assert_eq!(result, (expected, true, encoded.len()), "case {case}");
        for end in 0..encoded.len() {
            let (_, done, _) = decode(&encoded[..end], &pieces).unwrap();
            assert!(!done, "case {case} is done after {end} of {} bytes", encoded.len());
        }
    }
}

/// Guards against panics on malformed bodies, and against chunk sizes that overflow.
#[test]
fn malformed_chunks_do_not_panic() {
    let mut rng = Pcg32::seed_from_u64(2);
    for _ in 0..5_000 {
        let mut encoded = b"5;a=b\r\nhello\r\n0\r\nt: v\r\n\r\n".to_vec();
        for _ in 0..rng.random_range(1..4) {
            let index = rng.random_range(0..encoded.len());
            encoded[index] = rng.random();
        }
        let _ = decode(&encoded, &[3]);
    }
    let huge = decode(b"11111111111111111\r\n", &[64]);
    assert_eq!(huge, Err(HttpFault::BadChunk));
    assert_eq!(decode(&[b'1'; 5000], &[64]), Err(HttpFault::BadChunk));
}

/// Guards against heads that pass validation and then make `async-h1` panic.
#[test]
fn checked_heads_do_not_panic() {
    const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nhost: a.b\r\ncontent-length: 2\r\nx-y: z\r\n\r\n";
    let mut rng = Pcg32::seed_from_u64(3);
    let mut accepted = 0;
    for _ in 0..20_000 {
        let mut head = HEAD.to_vec();
        for _ in 0..rng.random_range(0..3) {
            let index = rng.random_range(0..head.len() - 4);
            head[index] = rng.random();
        }
        let end = find_head_end(&head, 0).unwrap();
        if parse_head(&head[..end]).is_ok() {
            accepted += 1;
            let _ = task::block_on(async_h1::client::decode(Cursor::new(head)));
        }
    }
    assert!(accepted > 5_000, "{accepted}");
}

/// Guards against numbers that another parser reads differently.
#[test]
fn decimals_are_digits_only() {
    assert_eq!(parse_decimal(b"0"), Some(0));
    assert_eq!(parse_decimal(b"18446744073709551615"), Some(u64::MAX));
    for text in ["", "+1", "-1", " 1", "1 ", "0x1", "1e3", "18446744073709551616", "1_0"] {
        assert_eq!(parse_decimal(text.as_bytes()), None, "{text:?}");
    }
}

/// Guards against parsing a long head again after each piece of it, which costs the square of its
/// length.
#[test]
fn long_heads_are_parsed_a_few_times() {
    const MAX_PARSED_PER_BYTE: usize = 256;
    let mut head = b"HTTP/1.1 200 OK\r\n".to_vec();
    while head.len() < 64 * 1024 {
        head.extend(b"name: value\r\n");
    }
    let mut schedule = ParseSchedule::new();
    let due = (0..=head.len()).filter(|length| schedule.is_due(&head[..*length]));
    let parsed: usize = due.sum();
    assert!(parsed <= head.len() * MAX_PARSED_PER_BYTE, "{parsed} bytes parsed");
}

/// Guards against a complete head that is not parsed because it ends in an unexpected place.
#[test]
fn complete_heads_are_parsed_at_once() {
    let mut rng = Pcg32::seed_from_u64(3);
    for case in 0..500 {
        let line_end = if rng.random() { "\r\n" } else { "\n" };
        let mut head = format!("HTTP/1.1 200 OK{line_end}");
        for _ in 0..rng.random_range(0..2_000) {
            head += &format!("name: value{line_end}");
        }
        head += line_end;
        let mut schedule = ParseSchedule::new();
        let mut received = 0;
        while received < head.len() {
            received = (received + rng.random_range(1..5_000)).min(head.len());
            let is_due = schedule.is_due(&head.as_bytes()[..received]);
            assert!(is_due || received < head.len(), "case {case} of {} bytes", head.len());
        }
    }
}
