//! Listeners that are closed while clients connect.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use sedgehill_net::listener::{accept_all, close};
use slog::{Discard, Logger, o};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// Number of listeners that are closed.
const CLOSES: usize = 12;
/// Number of clients that connect meanwhile, each from its own thread.
const CLIENTS: usize = 24;

/// Repeatedly connects and exchanges a byte, until a connection is refused. Returns the error if an established
/// connection ends without its answer.
fn connect_until_refused(address: SocketAddr) -> Option<std::io::Error> {
    loop {
        let mut stream = TcpStream::connect(address).ok()?;
        let exchange = stream.write_all(b"?").and_then(|()| stream.read_exact(&mut [0; 1]));
        if let Err(error) = exchange {
            return Some(error);
        }
    }
}

/// Answers a connection with the byte that it sends.
fn echo_byte(mut stream: tokio::net::TcpStream) {
    tokio::spawn(async move {
        let mut byte = [0; 1];
        if stream.read_exact(&mut byte).await.is_ok() {
            // An error means that the client is gone.
            let _ = stream.write_all(&byte).await;
        }
    });
}

/// Closing a listener resets the connections in its queue, also if the queue is emptied just before: another connection
/// may arrive in between. Callers of a stopping box got "Connection reset by peer".
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn closing_a_listener_resets_no_connection() {
    let mut errors = Vec::new();
    for _ in 0..CLOSES {
        errors.extend(close_under_load().await);
    }
    assert!(
        errors.is_empty(),
        "{} connections failed in {CLOSES} closes: {:?}",
        errors.len(),
        errors[0]
    );
}

/// Closes a listener while clients connect. Returns the errors of connections that got no answer.
async fn close_under_load() -> Vec<std::io::Error> {
    let log = Logger::root(Discard, o!());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut clients = JoinSet::new();
    for _ in 0..CLIENTS {
        clients.spawn_blocking(move || connect_until_refused(address));
    }
    let accepting = accept_all(&listener, &echo_byte);
    // Always runs into the time-out, since `accept_all` never returns.
    let _ = tokio::time::timeout(Duration::from_millis(20), accepting).await;
    close(&log, listener, echo_byte).await;
    clients.join_all().await.into_iter().flatten().collect()
}
