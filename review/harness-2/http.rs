//! HTTP/1.1 messages over blocking sockets.

use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Status of an answer; 0 if it has none.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message; `None` if the connection ended before it.
pub fn read_head(stream: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            if message.first.is_empty() {
                continue;
            }
            return Ok(Some(message));
        }
        if message.first.is_empty() {
            message.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads a whole message with a length, in chunks, or without a body.
pub fn read_message(stream: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    let Some(mut message) = read_head(stream)? else {
        return Ok(None);
    };
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"));
    if is_chunked {
        while let Some(chunk) = read_chunk(stream)? {
            message.body.extend(chunk);
        }
    } else {
        let length = message.header("content-length").unwrap_or("0");
        let mut body = vec![0; length.parse().unwrap_or(0)];
        stream.read_exact(&mut body)?;
        message.body = body;
    }
    Ok(Some(message))
}

/// Reads one chunk; `None` at the last one.
pub fn read_chunk(stream: &mut BufReader<TcpStream>) -> Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16);
    let size = size.map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size + 2];
    stream.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

/// An answer with a JSON body.
pub fn json_answer(status: u16, body: &str) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
    );
    let mut answer = head.into_bytes();
    answer.extend(body.bytes());
    answer
}

/// A client that keeps its connection.
pub struct Client {
    address: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
    limit: Duration,
}

impl Client {
    pub fn new(address: SocketAddr, limit: Duration) -> Self {
        Self {
            address,
            stream: None,
            limit,
        }
    }

    /// Sends `request` and reads the whole answer; forgets the connection after an error or a close.
    pub fn call(&mut self, request: &[u8]) -> Result<Message> {
        let answered = self.try_call(request);
        let closes = match &answered {
            Ok(answer) => answer.header("connection").is_some_and(|it| it.contains("close")),
            Err(_) => true,
        };
        if closes {
            self.stream = None;
        }
        answered
    }

    fn try_call(&mut self, request: &[u8]) -> Result<Message> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(self.limit))?;
            self.stream = Some(BufReader::new(stream));
        }
        let stream = self.stream.as_mut().expect("connected above");
        stream.get_mut().write_all(request)?;
        let answer = read_message(stream)?;
        answer.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
    }
}
