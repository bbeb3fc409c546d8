//! Minimal HTTP/1.1 messages for the stand-ins.

use std::io::{self, Read};
use std::net::TcpStream;

/// A request as a stand-in received it.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
}

impl Request {
    /// Returns the value of a header, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        find_header(&self.headers, name).unwrap_or("")
    }

    /// Returns a parameter of the query, without percent decoding.
    pub fn query(&self, name: &str) -> &str {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(known, _)| *known == name).map_or("", |(_, value)| value)
    }
}

pub fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers.iter().filter(|(known, _)| known.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.as_str())
}

/// Splits a head into its first line and its headers.
pub fn parse_head(head: &[u8]) -> (String, Vec<(String, String)>) {
    let text = String::from_utf8_lossy(head).into_owned();
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or("").to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    (first, headers)
}

/// Returns the length of the head with its empty line, if it is complete.
pub fn head_length(bytes: &[u8]) -> Option<usize> {
    bytes.windows(4).position(|window| window == b"\r\n\r\n").map(|index| index + 4)
}

/// Reads the next request of a connection. Returns `None` at its end. `buffer` keeps bytes that
/// belong to later requests.
pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let head_end = loop {
        if let Some(length) = head_length(buffer) {
            break length;
        }
        if !fill(stream, buffer)? {
            return Ok(None);
        }
    };
    let head: Vec<u8> = buffer.drain(..head_end).collect();
    let (first, headers) = parse_head(&head);
    let mut words = first.split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let length = find_header(&headers, "content-length").and_then(|text| text.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buffer.len() < length {
        if !fill(stream, buffer)? {
            return Ok(None);
        }
    }
    // No case looks at the bodies of requests.
    buffer.drain(..length);
    Ok(Some(Request { method, target, headers }))
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut bytes = [0; 16 * 1024];
    let count = stream.read(&mut bytes)?;
    buffer.extend_from_slice(&bytes[..count]);
    Ok(count > 0)
}
