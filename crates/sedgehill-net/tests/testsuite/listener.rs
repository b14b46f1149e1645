//! Listeners that are closed while callers connect.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use sedgehill_net::listener::{accept_all, close};
use slog::{Discard, Logger, o};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// Listeners that are closed.
const CLOSES: usize = 12;
/// Callers that connect meanwhile, each from a thread of its own.
const CALLERS: usize = 24;

/// Connects and exchanges a byte, again and again, until no connection can be made. Returns why one that was made
/// ended without its answer.
fn connect_until_refused(address: SocketAddr) -> Option<std::io::Error> {
    loop {
        let mut stream = TcpStream::connect(address).ok()?;
        let exchange = stream.write_all(b"?").and_then(|()| stream.read_exact(&mut [0; 1]));
        if let Err(error) = exchange {
            return Some(error);
        }
    }
}

fn answer(mut stream: tokio::net::TcpStream) {
    tokio::spawn(async move {
        let mut byte = [0; 1];
        if stream.read_exact(&mut byte).await.is_ok() {
            // A caller that is gone has no use for it.
            let _ = stream.write_all(&byte).await;
        }
    });
}

/// Closing a listener resets the connections that wait in its queue. A look at the queue just before does not help: one
/// more may come in between. Callers of a box that was stopping were told "Connection reset by peer".
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_listener_that_closes_resets_no_connection() {
    let mut reset = Vec::new();
    for _ in 0..CLOSES {
        reset.extend(close_under_load().await);
    }
    assert!(reset.is_empty(), "{} connections of {CLOSES} closes: {:?}", reset.len(), reset[0]);
}

/// Closes a listener under callers. Returns how those ended that got no answer on a connection.
async fn close_under_load() -> Vec<std::io::Error> {
    let log = Logger::root(Discard, o!());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        callers.spawn_blocking(move || connect_until_refused(address));
    }
    let busy = accept_all(&listener, &answer);
    // It ends by the time alone.
    let _ = tokio::time::timeout(Duration::from_millis(20), busy).await;
    close(&log, listener, answer).await;
    callers.join_all().await.into_iter().flatten().collect()
}
