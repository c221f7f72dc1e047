//! HTTP/1.1 over blocking sockets, one thread a connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Port of the caller's end of the connection.
    pub from: Option<SocketAddr>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// A parameter of the query, with `%XX` decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let pairs = self.query.split('&').filter_map(|it| it.split_once('='));
        let (_, value) = pairs.into_iter().find(|(key, _)| *key == name)?;
        let mut out = Vec::new();
        let bytes = value.as_bytes();
        let mut at = 0;
        while at < bytes.len() {
            let escaped = (bytes[at] == b'%')
                .then(|| value.get(at + 1..at + 3))
                .flatten();
            match escaped.and_then(|it| u8::from_str_radix(it, 16).ok()) {
                Some(byte) => {
                    out.push(byte);
                    at += 3;
                }
                None => {
                    out.push(bytes[at]);
                    at += 1;
                }
            }
        }
        String::from_utf8(out).ok()
    }
}

#[derive(Clone, Debug, Default)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    pub fn with(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// What a handler does with a request.
pub enum Outcome {
    Answer(Reply),
    /// No answer: the connection returns nothing further, and closes after this time.
    Silent(Duration),
    /// The connection closes at once.
    Close,
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

pub type Handler = Arc<dyn Fn(&Request) -> Outcome + Send + Sync>;

/// A listening server. While it is down, its listener is closed, and so are its connections after their
/// current request.
pub struct Server {
    pub address: SocketAddr,
    down: Arc<AtomicBool>,
}

impl Server {
    /// Listens at `address`; a port of 0 takes a free one.
    pub fn start(address: SocketAddr, handler: Handler) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let down = Arc::new(AtomicBool::new(false));
        let is_down = Arc::clone(&down);
        listener.set_nonblocking(true)?;
        std::thread::spawn(move || {
            while !is_down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, from)) => {
                        let (handler, is_down) = (Arc::clone(&handler), Arc::clone(&is_down));
                        std::thread::spawn(move || {
                            drop(stream.set_nonblocking(false));
                            drop(serve(stream, from, &handler, &is_down));
                        });
                    }
                    Err(_none) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(Self { address, down })
    }

    /// Ends the server: new connections are refused, open ones close.
    pub fn stop(&self) {
        self.down.store(true, Ordering::SeqCst);
    }
}

fn serve(
    stream: TcpStream,
    from: SocketAddr,
    handler: &Handler,
    is_down: &Arc<AtomicBool>,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(20)))?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(Patient {
        stream,
        is_down: Arc::clone(is_down),
    });
    while let Some(mut request) = read_request(&mut reader)? {
        request.from = Some(from);
        match handler(&request) {
            Outcome::Answer(reply) => {
                if is_down.load(Ordering::SeqCst) {
                    return Ok(());
                }
                write_reply(&mut writer, &reply, request.method == "HEAD")?;
            }
            Outcome::Silent(time) => {
                std::thread::sleep(time);
                return Ok(());
            }
            Outcome::Close => return Ok(()),
        }
    }
    Ok(())
}

/// Reads until the server goes down.
struct Patient {
    stream: TcpStream,
    is_down: Arc<AtomicBool>,
}

impl Read for Patient {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        loop {
            if self.is_down.load(Ordering::SeqCst) {
                return Ok(0);
            }
            match self.stream.read(buffer) {
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) => {}
                other => return other,
            }
        }
    }
}

fn read_line(reader: &mut impl BufRead) -> std::io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    let text = String::from_utf8_lossy(&line);
    Ok(Some(text.trim_end_matches(['\r', '\n']).to_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> std::io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    while let Some(line) = read_line(reader)? {
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    Ok(headers)
}

fn read_body(
    reader: &mut impl BufRead,
    headers: &[(String, String)],
    until_end: bool,
) -> std::io::Result<Vec<u8>> {
    let mut body = Vec::new();
    let coding = find(headers, "transfer-encoding").unwrap_or_default();
    if coding.eq_ignore_ascii_case("chunked") {
        loop {
            let line = read_line(reader)?.unwrap_or_default();
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16)
                .map_err(|_| std::io::Error::from(std::io::ErrorKind::UnexpectedEof))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            read_line(reader)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
    match find(headers, "content-length").and_then(|it| it.parse().ok()) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        None if until_end => {
            reader.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}

fn read_request(reader: &mut impl BufRead) -> std::io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers, false)?;
    Ok(Some(Request {
        method,
        path,
        query,
        headers,
        body,
        from: None,
    }))
}

fn write_reply(writer: &mut impl Write, reply: &Reply, is_head: bool) -> std::io::Result<()> {
    let mut out = format!("HTTP/1.1 {} X\r\n", reply.status).into_bytes();
    for (name, value) in &reply.headers {
        out.extend(format!("{name}: {value}\r\n").bytes());
    }
    out.extend(format!("Content-Length: {}\r\n\r\n", reply.body.len()).bytes());
    if !is_head {
        out.extend(&reply.body);
    }
    writer.write_all(&out)
}

/// A client's connection, which is used for several requests.
pub struct Client {
    address: SocketAddr,
    open: Option<(TcpStream, BufReader<TcpStream>)>,
    timeout: Duration,
}

impl Client {
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            open: None,
            timeout,
        }
    }

    /// Sends a request and reads the whole answer. After an error, the next request gets a new connection.
    pub fn call(&mut self, request: &Request) -> std::io::Result<Reply> {
        let answered = self.exchange(request);
        let closes = answered.as_ref().map_or(true, |reply| {
            let connection = reply.header("connection").unwrap_or_default();
            connection.eq_ignore_ascii_case("close")
        });
        if closes {
            self.open = None;
        }
        answered
    }

    fn exchange(&mut self, request: &Request) -> std::io::Result<Reply> {
        if self.open.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(self.timeout))?;
            let reader = BufReader::new(stream.try_clone()?);
            self.open = Some((stream, reader));
        }
        let Some((writer, reader)) = self.open.as_mut() else {
            return Err(std::io::ErrorKind::NotConnected.into());
        };
        let mut out = format!("{} {}", request.method, request.path).into_bytes();
        if !request.query.is_empty() {
            out.extend(format!("?{}", request.query).bytes());
        }
        out.extend(b" HTTP/1.1\r\n");
        for (name, value) in &request.headers {
            out.extend(format!("{name}: {value}\r\n").bytes());
        }
        if !request.body.is_empty() {
            out.extend(format!("Content-Length: {}\r\n", request.body.len()).bytes());
        }
        out.extend(b"\r\n");
        out.extend(&request.body);
        writer.write_all(&out)?;
        let line = read_line(reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        let status = line.split(' ').nth(1).and_then(|it| it.parse().ok());
        let status = status.ok_or(std::io::ErrorKind::InvalidData)?;
        let headers = read_headers(reader)?;
        let body = read_body(reader, &headers, true)?;
        Ok(Reply {
            status,
            headers,
            body,
        })
    }
}
