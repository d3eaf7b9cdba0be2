//! HTTP/1.1 for the stand-ins: a server with a thread for each connection, and a client that uses a
//! new connection for each request.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    /// Path and query, as sent.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map_or("", |(_, value)| value.as_str())
}

#[derive(Debug, Clone, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }
}

type Handler = dyn Fn(Request) -> Option<Response> + Send + Sync;

/// Serves requests; a handler that returns `None` closes the connection without an answer.
pub fn serve(listener: TcpListener, handler: Arc<Handler>) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || drop(serve_connection(stream, &*handler)));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some((line, headers)) = read_head(&mut reader)? {
        let mut words = line.split(' ');
        let mut request = Request {
            method: words.next().unwrap_or_default().into(),
            target: words.next().unwrap_or_default().into(),
            headers,
            body: Vec::new(),
        };
        request.body = read_body(&mut reader, &request.headers, false)?;
        let Some(response) = handler(request) else {
            return Ok(());
        };
        let mut out = format!("HTTP/1.1 {} X\r\n", response.status);
        for (name, value) in &response.headers {
            out += &format!("{name}: {value}\r\n");
        }
        out += &format!("Content-Length: {}\r\n\r\n", response.body.len());
        let mut bytes = out.into_bytes();
        bytes.extend_from_slice(&response.body);
        writer.write_all(&bytes)?;
    }
    Ok(())
}

type Head = (String, Vec<(String, String)>);

fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Head>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    let first = String::from_utf8_lossy(&line).trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let text = String::from_utf8_lossy(&line);
        let text = text.trim_end();
        if text.is_empty() {
            return Ok(Some((first, headers)));
        }
        let (name, value) = text.split_once(':').unwrap_or((text, ""));
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_body(
    reader: &mut impl BufRead,
    headers: &[(String, String)],
    until_close: bool,
) -> std::io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if header(headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = line.trim().split(';').next().unwrap_or_default();
            let size =
                usize::from_str_radix(size, 16).map_err(|_| std::io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    if let Ok(length) = header(headers, "content-length").parse() {
        body = vec![0; length];
        reader.read_exact(&mut body)?;
    } else if until_close {
        reader.read_to_end(&mut body)?;
    }
    Ok(body)
}

/// Sends a request on a new connection and waits for the whole answer, at most for `timeout`.
pub fn send(
    address: SocketAddr,
    request: &Request,
    timeout: Duration,
) -> std::io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut out = format!("{} {} HTTP/1.1\r\n", request.method, request.target);
    for (name, value) in &request.headers {
        out += &format!("{name}: {value}\r\n");
    }
    if !request.body.is_empty() {
        out += &format!("Content-Length: {}\r\n", request.body.len());
    }
    out += "Connection: close\r\n\r\n";
    let mut bytes = out.into_bytes();
    bytes.extend_from_slice(&request.body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let (line, headers) = read_head(&mut reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let status = line
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let status = status.ok_or(std::io::ErrorKind::InvalidData)?;
    let body = read_body(&mut reader, &headers, true)?;
    Ok(Response {
        status,
        headers,
        body,
    })
}
