//! Connections that send something to a box and then stay open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// How long a member of a crowd tries to send what the box does not read.
const SEND_TIMEOUT: Duration = Duration::from_secs(4);
/// Time limit of a wait for answers.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two pieces of a body, in which the box reads the first of them by itself.
const PIECE_PAUSE: Duration = Duration::from_millis(20);
/// Pause between the connections of a crowd, so that none waits for a place in the queue of the listener.
const CONNECT_PAUSE: Duration = Duration::from_millis(1);
/// Size of a large chunk, and of a piece of a body that is sent piece by piece, in bytes.
const PIECE_BYTES: usize = 32 << 10;
/// Number of very small chunks in a body.
const SMALL_CHUNKS: usize = 150;

/// How a body is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyForm {
    /// With its length, at once.
    Whole,
    /// With its length, piece by piece.
    Pieces,
    /// In large chunks.
    LargeChunks,
    /// In few chunks of one byte, each in a segment of its own.
    SmallChunks,
}

/// Returns the pieces in which a request with a body of `body_bytes` is sent that stops short of its end: by one byte,
/// or by its last chunk. `head` has no empty line at its end.
pub fn unfinished_request(head: &str, body_bytes: usize, form: BodyForm) -> Vec<Vec<u8>> {
    let with_length = format!("{head}Content-Length: {body_bytes}\r\n\r\n").into_bytes();
    let with_chunks = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
    let sent_bytes = body_bytes - 1;
    match form {
        BodyForm::Whole => vec![[with_length, vec![b' '; sent_bytes]].concat()],
        BodyForm::Pieces => {
            let body = vec![b' '; sent_bytes];
            let pieces = body.chunks(PIECE_BYTES).map(<[u8]>::to_vec);
            std::iter::once(with_length).chain(pieces).collect()
        }
        BodyForm::LargeChunks => {
            let chunk = format!("{PIECE_BYTES:x}\r\n{}\r\n", " ".repeat(PIECE_BYTES)).into_bytes();
            let chunks = std::iter::repeat_n(chunk, body_bytes / PIECE_BYTES);
            std::iter::once(with_chunks).chain(chunks).collect()
        }
        BodyForm::SmallChunks => {
            let chunks = std::iter::repeat_n(b"1\r\n \r\n".to_vec(), SMALL_CHUNKS);
            std::iter::once(with_chunks).chain(chunks).collect()
        }
    }
}

/// Opens `size` connections and sends `pieces` on each, at most until the box stops reading. Returns the connections
/// that the box has accepted, which it may have closed since.
pub async fn send_from_crowd(
    address: SocketAddr,
    size: usize,
    pieces: Vec<Vec<u8>>,
) -> Vec<TcpStream> {
    let pieces: Arc<[Vec<u8>]> = pieces.into();
    let mut members = JoinSet::new();
    for _ in 0..size {
        tokio::time::sleep(CONNECT_PAUSE).await;
        let pieces = pieces.clone();
        members.spawn(async move {
            let mut stream = TcpStream::connect(address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            // Fails if the box closes the connection or does not read, which it may.
            let _ = tokio::time::timeout(SEND_TIMEOUT, send_pieces(&mut stream, &pieces)).await;
            Some(stream)
        });
    }
    members.join_all().await.into_iter().flatten().collect()
}

async fn send_pieces(stream: &mut TcpStream, pieces: &[Vec<u8>]) -> std::io::Result<()> {
    for (index, piece) in pieces.iter().enumerate() {
        if index > 0 {
            tokio::time::sleep(PIECE_PAUSE).await;
        }
        stream.write_all(piece).await?;
    }
    Ok(())
}

/// A whole response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrowdResponse {
    /// The status code.
    pub status: u16,
    /// Whether the connection stays open.
    pub keeps_open: bool,
}

/// Reads the next response on a connection, or returns `None` unless a whole response comes.
pub async fn read_response(stream: &mut TcpStream) -> Option<CrowdResponse> {
    let mut bytes = Vec::new();
    let reading = async {
        let head_end = loop {
            if let Some(at) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
                break at + 4;
            }
            if stream.read_buf(&mut bytes).await.ok()? == 0 {
                return None;
            }
        };
        let head = String::from_utf8_lossy(&bytes[..head_end]).to_ascii_lowercase();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "))?;
        let length: usize = length.trim().parse().ok()?;
        while bytes.len() < head_end + length {
            if stream.read_buf(&mut bytes).await.ok()? == 0 {
                return None;
            }
        }
        let status = head.split(' ').nth(1)?.parse().ok()?;
        Some(CrowdResponse { status, keeps_open: !head.contains("connection: close") })
    };
    tokio::time::timeout(ANSWER_TIMEOUT, reading).await.ok()?
}

/// Sends a whole request on a connection and returns the status of the response, if one comes.
pub async fn exchange(stream: &mut TcpStream, request: &str) -> Option<u16> {
    stream.write_all(request.as_bytes()).await.ok()?;
    read_response(stream).await.map(|response| response.status)
}

/// Sends a whole request on a new connection and returns the status of the response, if one comes.
pub async fn call_once(address: SocketAddr, request: &str) -> Option<u16> {
    let connecting = tokio::time::timeout(ANSWER_TIMEOUT, TcpStream::connect(address));
    let mut stream = connecting.await.ok()?.ok()?;
    exchange(&mut stream, request).await
}
