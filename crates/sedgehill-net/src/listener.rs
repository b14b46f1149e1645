//! Accepting connections, and closing a listener without resetting the connections in its queue.

use std::time::Duration;

use slog::{Logger, info};
use socket2::{SockFilter, SockRef};
use tokio::net::{TcpListener, TcpStream};

/// Pause after the system failed to accept a connection.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(50);
/// How long a closing listener waits for TCP handshakes that are under way.
const HANDSHAKE_GRACE: Duration = Duration::from_millis(200);

/// Accepts connections and hands each to `spawn`. Never returns.
pub async fn accept_all(listener: &TcpListener, spawn: &impl Fn(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn(stream),
            Err(_) => tokio::time::sleep(ACCEPT_ERROR_PAUSE).await,
        }
    }
}

/// Closes a listener and hands the connections in its queue to `spawn`.
///
/// The kernel resets connections that are still in the queue when a listener is closed. Emptying the queue just before
/// is not enough: another connection may arrive in between, above all if the thread is descheduled. So the kernel first
/// drops requests for new connections while handshakes under way complete. A client whose request is dropped sends it
/// again and is refused then.
pub async fn close(log: &Logger, listener: TcpListener, spawn: impl Fn(TcpStream)) {
    if let Err(error) = drop_connection_requests(&listener) {
        info!(log, "closing listener cannot drop connection requests"; "error" => %error);
    }
    // Always runs into the time-out, since `accept_all` never returns.
    let _ = tokio::time::timeout(HANDSHAKE_GRACE, accept_all(&listener, &spawn)).await;
    let Ok(listener) = listener.into_std() else { return };
    // An error means that the queue is empty, or that no connection can be accepted.
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        match stream {
            Ok(stream) => spawn(stream),
            Err(error) => {
                info!(log, "could not take over a connection of a closing listener"; "error" => %error)
            }
        }
    }
}

/// Makes the kernel drop segments that request a connection: those with SYN and without ACK. The socket filter sees
/// a segment from its TCP header on.
fn drop_connection_requests(listener: &TcpListener) -> std::io::Result<()> {
    const FLAGS_OFFSET: u32 = 13;
    const SYN: u32 = 0x02;
    const ACK: u32 = 0x10;
    const KEEP_WHOLE_SEGMENT: u32 = u32::MAX;
    const SKIP_DROP: u8 = 1;
    let instruction = |code: u32, k: u32| SockFilter::new(code as u16, 0, 0, k);
    let compare = (libc::BPF_JMP | libc::BPF_JEQ | libc::BPF_K) as u16;
    SockRef::from(listener).attach_filter(&[
        instruction(libc::BPF_LD | libc::BPF_B | libc::BPF_ABS, FLAGS_OFFSET),
        instruction(libc::BPF_ALU | libc::BPF_AND | libc::BPF_K, SYN | ACK),
        SockFilter::new(compare, 0, SKIP_DROP, SYN),
        instruction(libc::BPF_RET | libc::BPF_K, 0),
        instruction(libc::BPF_RET | libc::BPF_K, KEEP_WHOLE_SEGMENT),
    ])
}
