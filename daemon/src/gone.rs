//! Notices that the other end of a connection has closed.

use async_std::net::TcpStream;
use std::time::Duration;

const UNREAD_PERIOD: Duration = Duration::from_millis(50);

/// Returns once the other end has closed; unread bytes stay unread.
pub async fn gone(stream: &TcpStream) {
    let mut byte = [0];
    loop {
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            Ok(_) => async_std::task::sleep(UNREAD_PERIOD).await,
        }
    }
}
