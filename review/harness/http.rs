//! Reading and writing of HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// A request as a server read it; header names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// A parameter of the query, percent-decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let (_path, query) = self.target.split_once('?')?;
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        fields
            .find(|field| field.0 == name)
            .map(|field| percent_decode(field.1))
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|header| header.0 == name)
        .map(|header| header.1.as_str())
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

/// Reads a line without its end; an error at the end of the connection.
fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    if line.pop() != Some(b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    Ok(String::from_utf8_lossy(&line).into_owned())
}

pub fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("no header"))?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads the next chunk of a chunked body; `None` at its end.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let line = read_line(reader)?;
    let digits = line.split(';').next().unwrap_or_default().trim();
    let length = usize::from_str_radix(digits, 16).map_err(|_| broken("no chunk"))?;
    if length == 0 {
        while !read_line(reader)?.is_empty() {}
        return Ok(None);
    }
    let mut chunk = vec![0; length];
    reader.read_exact(&mut chunk)?;
    if !read_line(reader)?.is_empty() {
        return Err(broken("chunk without end"));
    }
    Ok(Some(chunk))
}

pub fn is_chunked(headers: &[(String, String)]) -> bool {
    find(headers, "transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if is_chunked(headers) {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
    } else if let Some(length) = find(headers, "content-length") {
        body = vec![0; length.parse().map_err(|_| broken("no length"))?];
        reader.read_exact(&mut body)?;
    }
    Ok(body)
}

pub fn read_request(reader: &mut impl BufRead) -> io::Result<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (Some(method), Some(target)) = (words.next(), words.next()) else {
        return Err(broken("no request"));
    };
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Ok(Request {
        method: method.to_owned(),
        target: target.to_owned(),
        headers,
        body,
    })
}

/// Status and headers of an answer, read by a client.
pub struct Head {
    pub status: u16,
    pub headers: Vec<(String, String)>,
}

pub fn read_head(reader: &mut impl BufRead) -> io::Result<Head> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    if words.next() != Some("HTTP/1.1") {
        return Err(broken(&format!("no answer: {line:.60}")));
    }
    let status = words.next().and_then(|word| word.parse().ok());
    Ok(Head {
        status: status.ok_or_else(|| broken("no status"))?,
        headers: read_headers(reader)?,
    })
}

pub fn read_answer_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    if is_chunked(&head.headers) || find(&head.headers, "content-length").is_some() {
        return read_body(reader, &head.headers);
    }
    let mut body = Vec::new();
    reader.read_to_end(&mut body)?;
    Ok(body)
}

/// Serves connections to `listener`, each in its own thread.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(BufReader<TcpStream>, SocketAddr) + Clone + Send + 'static,
) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let peer = stream.peer_addr();
            std::thread::spawn(move || {
                drop(stream.set_nodelay(true));
                if let Ok(peer) = peer {
                    handle(BufReader::new(stream), peer);
                }
            });
        }
    });
}
