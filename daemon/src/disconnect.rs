//! Detects that the peer has closed a connection.

use async_std::net::TcpStream;
use std::time::Duration;

/// Interval between peeks while unread bytes are buffered: `peek` then returns at once, and shows the
/// end of the stream only after they were read.
const PEEK_INTERVAL: Duration = Duration::from_millis(50);

/// Returns once the peer has closed the connection or it has failed; consumes no bytes.
pub async fn disconnected(stream: &TcpStream) {
    let mut byte = [0];
    loop {
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            Ok(_) => async_std::task::sleep(PEEK_INTERVAL).await,
        }
    }
}
