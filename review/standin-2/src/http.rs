//! A small HTTP/1.1 server and client, one thread for each connection.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A call that was read in full.
pub struct Call {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Call {
    /// Makes the same call at another address. Returns none without a whole answer in time.
    pub fn pass_on(&self, address: SocketAddr, timeout: Duration) -> Option<(u16, String)> {
        let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
        stream.set_nodelay(true).ok()?;
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        exchange(stream, &bytes, timeout)
    }
}

/// What becomes of a call.
pub enum Reply {
    /// It is answered.
    Answer(u16, Vec<u8>),
    /// It gets no answer: the connection stays open and says nothing further.
    Silence,
    /// It gets no answer, and the connection ends.
    Close,
}

impl Reply {
    pub fn json(status: u16, body: String) -> Reply {
        Reply::Answer(status, body.into_bytes())
    }

    pub fn status(status: u16) -> Reply {
        Reply::Answer(status, Vec::new())
    }
}

type Handler = dyn Fn(Call) -> Reply + Send + Sync;

/// A server that runs until it is closed.
pub struct Server {
    pub address: SocketAddr,
    open: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Starts a server at a port of the address, or at a free one if the port is 0.
    pub fn start(ip: &str, port: u16, handler: Arc<Handler>) -> std::io::Result<Server> {
        let listener = TcpListener::bind((ip, port))?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let open = Arc::new(AtomicBool::new(true));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (is_open, kept) = (open.clone(), streams.clone());
        std::thread::spawn(move || {
            while is_open.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            kept.lock().unwrap().push(copy);
                        }
                        let handler = handler.clone();
                        std::thread::spawn(move || serve(stream, &*handler));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        Ok(Server { address, open, streams })
    }

    /// Closes the port and resets all connections, as the end of a process does.
    pub fn close(&self) {
        self.open.store(false, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &Handler) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(call) = read_call(&mut reader) {
        match handler(call) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                let mut bytes = head.into_bytes();
                bytes.extend_from_slice(&body);
                if writer.write_all(&bytes).is_err() {
                    return;
                }
            }
            Reply::Silence => {
                // Nothing further is read or written; the other side ends the connection.
                let mut rest = Vec::new();
                let _ = reader.read_to_end(&mut rest);
                return;
            }
            Reply::Close => return,
        }
    }
}

fn read_call(reader: &mut BufReader<TcpStream>) -> Option<Call> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
    let mut parts = line.split_whitespace();
    let (method, target) = (parts.next()?.to_owned(), parts.next()?.to_owned());
    let headers = read_headers(reader)?;
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pair = |text: &str| {
        let (name, value) = text.split_once('=')?;
        Some((name.to_owned(), decode_percent(value)))
    };
    let query = query.split('&').filter_map(pair).collect();
    Some(Call { method, path: path.to_owned(), query, headers, body })
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> Option<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match code {
            Some(code) => {
                out.push(code);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Makes one call on a connection of its own. Returns none without a whole answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    exchange(stream, request.as_bytes(), timeout)
}

/// Sends a call and reads its answer.
fn exchange(mut stream: TcpStream, request: &[u8], timeout: Duration) -> Option<(u16, String)> {
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(request).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
