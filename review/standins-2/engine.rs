//! An engine: serves requests one after the other on each connection and registers itself in the store.

use crate::http::{self, Message, Reader};
use crate::store::Store;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// What the engine does with a request; returns whether the connection stays open.
pub type Serve = Arc<dyn Fn(&TcpStream, &Message) -> io::Result<bool> + Send + Sync>;

#[derive(Clone)]
pub struct Engine {
    pub address: SocketAddr,
}

impl Engine {
    pub fn start(serve: Serve) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let engine = Self {
            address: listener.local_addr()?,
        };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serve = serve.clone();
                let _ = thread::Builder::new()
                    .stack_size(128 << 10)
                    .spawn(move || serve_connection(&stream, &serve));
            }
        });
        Ok(engine)
    }

    pub fn register(&self, store: &Store, id: &str, service: &str, slots: u32) {
        store.put(
            "servers",
            id,
            &format!(
                "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"gent-a\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1700000000000}}",
                self.address
            ),
        );
    }
}

fn serve_connection(stream: &TcpStream, serve: &Serve) {
    let _ = stream.set_nodelay(true);
    let Ok(mut reader) = Reader::new(stream) else {
        return;
    };
    while let Ok(Some(request)) = reader.message() {
        if !serve(stream, &request).unwrap_or(false) {
            return;
        }
    }
}

/// Headers of an answer to `request`.
pub fn headers(request: &Message) -> String {
    let attempt = request.header("X-Almondwell-Attempt-Id").unwrap_or("-");
    format!(
        "X-Almondwell-Attempt-Id: {attempt}\r\nX-Almondwell-Response-Signature: sig-{attempt}\r\n"
    )
}

/// Answers each request after `work`.
pub fn plain(work: Duration) -> Serve {
    Arc::new(move |stream, request| {
        thread::sleep(work);
        http::answer(stream, "200 OK", &headers(request), &[b'x'; 800])?;
        Ok(true)
    })
}

/// A model engine, which answers with a short stream.
pub fn model() -> Serve {
    Arc::new(move |stream, request| {
        thread::sleep(Duration::from_millis(30));
        let headers = format!("{}Content-Type: text/event-stream\r\n", headers(request));
        http::answer(
            stream,
            "200 OK",
            &headers,
            b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        )?;
        Ok(true)
    })
}

/// Answers with `length` bytes in chunks, as fast as they are taken.
pub fn document(length: usize) -> Serve {
    const CHUNK_BYTES: usize = 8 << 10;
    Arc::new(move |mut stream, request| {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}Transfer-Encoding: chunked\r\n\r\n",
            headers(request)
        );
        stream.write_all(head.as_bytes())?;
        let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "d".repeat(CHUNK_BYTES));
        for _ in 0..length / CHUNK_BYTES {
            stream.write_all(chunk.as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    })
}
