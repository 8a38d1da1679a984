//! HTTP/1.1 over TCP, as far as the stand-ins need it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Call {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: String,
}

impl Call {
    pub fn query(&self, key: &str) -> Option<&str> {
        let found = self.query.iter().find(|(k, _)| k == key);
        found.map(|(_, value)| value.as_str())
    }
}

fn header_length(line: &str) -> Option<usize> {
    let (name, value) = line.split_once(':')?;
    let is_length = name.eq_ignore_ascii_case("content-length");
    is_length.then(|| value.trim().parse().ok())?
}

fn unescape(text: &str) -> String {
    let b = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < b.len() {
        let hex = (b[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(b[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a call; None at the end of the connection.
pub fn read_call(reader: &mut BufReader<TcpStream>) -> Option<Call> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line.trim().is_empty() {
            break;
        }
        length = header_length(&line).unwrap_or(length);
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Call {
        method,
        path: unescape(path),
        query: query.map(|(k, v)| (k.to_owned(), unescape(v))).collect(),
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

pub fn write_answer(stream: &mut TcpStream, status: u16, body: &str) -> std::io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\nstore-era: 1\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}

/// Makes one call over a connection of its own. Returns the status.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> std::io::Result<u16> {
    let timeout = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: {to}\r\ncontent-type: application/json\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    let status = line.split_whitespace().nth(1).and_then(|s| s.parse().ok());
    status.ok_or_else(|| std::io::Error::other("no status"))
}
