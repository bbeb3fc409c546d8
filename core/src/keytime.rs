//! Creation time of an idempotency key, where the key carries one.

use crate::clock::ClockTime;

/// Length of a UUID in its text form, in bytes.
const UUID_BYTES: usize = 36;

/// Hexadecimal digits of the creation time at the start of a version 7 UUID (RFC 9562).
const TIME_DIGITS: usize = 12;

/// The creation time of a key that is a version 7 UUID, or `None` for every other key.
pub fn scan_key_time(key: &str) -> Option<ClockTime> {
    let bytes = key.as_bytes();
    if bytes.len() != UUID_BYTES || bytes[14] != b'7' {
        return None;
    }
    let is_placed = |(index, &byte): (usize, &u8)| match index {
        8 | 13 | 18 | 23 => byte == b'-',
        _ => byte.is_ascii_hexdigit(),
    };
    if !bytes.iter().enumerate().all(is_placed)
        || !matches!(bytes[19] | 0x20, b'8' | b'9' | b'a' | b'b')
    {
        return None;
    }
    let digits = bytes.iter().filter(|&&byte| byte != b'-').take(TIME_DIGITS);
    let millis = digits.fold(0, |millis, &digit| millis << 4 | u64::from(hex_value(digit)));
    Some(ClockTime::new(millis))
}

/// A key that is a version 7 UUID with this creation time.
pub fn dated_key(created: ClockTime, random: u128) -> String {
    let time = created.millis() & 0xffff_ffff_ffff;
    let middle = (random >> 64) & 0xfff;
    let variant = 0x8000 | ((random >> 48) & 0x3fff);
    let node = random & 0xffff_ffff_ffff;
    format!("{:08x}-{:04x}-7{middle:03x}-{variant:04x}-{node:012x}", time >> 16, time & 0xffff)
}

const fn hex_value(digit: u8) -> u8 {
    match digit {
        b'0'..=b'9' => digit - b'0',
        _ => (digit | 0x20) - b'a' + 10,
    }
}
