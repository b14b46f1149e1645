//! Taking connections, and closing a listener without resetting those that wait in it.

use std::time::Duration;

use slog::{Logger, info};
use socket2::{SockFilter, SockRef};
use tokio::net::{TcpListener, TcpStream};

/// How long to wait after the machine could not take a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// What handshakes that have begun may take to end.
const HANDSHAKE_LIMIT: Duration = Duration::from_millis(200);

/// Takes connections for as long as it is polled.
pub async fn accept_all(listener: &TcpListener, spawn: &impl Fn(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn(stream),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Closes a listener and takes what waits in it.
///
/// Closing resets the connections that wait in the queue, and between the last look at it and the end of the process
/// another one may come, above all where the thread is held up in between. So the machine first ignores what asks for
/// a new connection, while handshakes that have begun end; whoever asks then is refused when it asks again.
pub async fn close(log: &Logger, listener: TcpListener, spawn: impl Fn(TcpStream)) {
    if let Err(error) = ignore_new(&listener) {
        info!(log, "a closing listener cannot ignore new connections"; "error" => %error);
    }
    // It ends by the time alone.
    let _ = tokio::time::timeout(HANDSHAKE_LIMIT, accept_all(&listener, &spawn)).await;
    let Ok(listener) = listener.into_std() else { return };
    // An error means that none waits, or that none can be taken.
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        match stream {
            Ok(stream) => spawn(stream),
            Err(error) => info!(log, "a connection could not be taken"; "error" => %error),
        }
    }
}

/// Has the machine drop segments that open a connection. The filter sees a segment from its TCP header on.
fn ignore_new(listener: &TcpListener) -> std::io::Result<()> {
    const FLAGS_OFFSET: u32 = 13;
    const SYN: u32 = 0x02;
    const ACK: u32 = 0x10;
    const KEEP_ALL: u32 = u32::MAX;
    const KEEP_UNLESS_EQUAL: u8 = 1;
    let statement = |code: u32, k: u32| SockFilter::new(code as u16, 0, 0, k);
    let compare = (libc::BPF_JMP | libc::BPF_JEQ | libc::BPF_K) as u16;
    SockRef::from(listener).attach_filter(&[
        statement(libc::BPF_LD | libc::BPF_B | libc::BPF_ABS, FLAGS_OFFSET),
        statement(libc::BPF_ALU | libc::BPF_AND | libc::BPF_K, SYN | ACK),
        SockFilter::new(compare, 0, KEEP_UNLESS_EQUAL, SYN),
        statement(libc::BPF_RET | libc::BPF_K, 0),
        statement(libc::BPF_RET | libc::BPF_K, KEEP_ALL),
    ])
}
