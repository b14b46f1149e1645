//! HTTP/1.1 over blocking sockets: a server with one thread a connection, and a client for single calls.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A request.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// What a handler does with a request.
pub enum Reply {
    /// A status and a body.
    Answer(u16, Vec<u8>),
    /// The connection goes silent for good: nothing more is read from it or written to it.
    Silent,
}

impl Reply {
    pub fn json(status: u16, body: String) -> Reply {
        Reply::Answer(status, body.into_bytes())
    }
}

/// The connections to a server, which takes a limited number of them.
#[derive(Default)]
pub struct Connections {
    open: AtomicUsize,
    /// The most connections; no limit if this is 0.
    pub most: usize,
    /// The clients of all connections from before this moment lost power, so that nothing ends these connections.
    lost_before: Mutex<Option<Instant>>,
}

impl Connections {
    pub fn limited(most: usize) -> Connections {
        Connections { most, ..Connections::default() }
    }

    /// The number of connections that the server has open, by what it can know.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Notes that the clients of all present connections are about to lose power.
    pub fn lose_clients(&self) {
        *self.lost_before.lock().unwrap() = Some(Instant::now());
    }

    fn close(&self, opened_at: Instant) {
        let is_lost = self.lost_before.lock().unwrap().is_some_and(|lost| opened_at < lost);
        if !is_lost {
            self.open.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

/// Serves requests on a free loopback port. Returns its address.
pub fn serve(handler: impl Fn(Request) -> Reply + Send + Sync + 'static) -> SocketAddr {
    serve_limited(Arc::new(Connections::default()), handler)
}

/// Like [`serve`], for a server that takes a limited number of connections and closes any others at once.
pub fn serve_limited(
    connections: Arc<Connections>,
    handler: impl Fn(Request) -> Reply + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port on loopback");
    let address = listener.local_addr().expect("a bound socket has an address");
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if connections.most > 0 && connections.open() >= connections.most {
                continue;
            }
            connections.open.fetch_add(1, Ordering::SeqCst);
            let (handler, connections) = (handler.clone(), connections.clone());
            let run = move || {
                let opened_at = Instant::now();
                let _ = serve_connection(stream, &*handler);
                connections.close(opened_at);
            };
            let _ = std::thread::Builder::new().stack_size(256 << 10).spawn(run);
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> Reply) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(request) = read_request(&mut reader)? {
        match handler(request) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                let mut bytes = head.into_bytes();
                bytes.extend(body);
                writer.write_all(&bytes)?;
            }
            Reply::Silent => {
                // Until the client closes its side.
                let _ = std::io::copy(&mut reader, &mut std::io::sink());
                return Ok(());
            }
        }
    }
    Ok(())
}

fn read_head(
    reader: &mut impl BufRead,
) -> std::io::Result<Option<(String, BTreeMap<String, String>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    Ok(Some((first.trim_end().to_owned(), headers)))
}

fn read_request(reader: &mut impl BufRead) -> std::io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), decode_percent(value))).collect();
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Request { method, path: path.to_owned(), query, headers, body }))
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).and_then(|digits| std::str::from_utf8(digits).ok());
        match (bytes[at], code.and_then(|digits| u8::from_str_radix(digits, 16).ok())) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
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

/// Makes one call on a new connection, as a client of the queue at `host`. Returns none without a whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nDeadline-Ms: 3000\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
