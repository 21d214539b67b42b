//! Answers that are not valid HTTP/1.1, for every reader of answers.

/// Status lines that are invalid, also of an interim response. 101 is valid, but nothing here asks for another protocol.
const STATUS_LINES: [&str; 18] = [
    "HTTP/1.1 000 ",
    "HTTP/1.1 000 X",
    "HTTP/1.1 001 X",
    "HTTP/1.1 042 X",
    "HTTP/1.1 099 X",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 600 X",
    "HTTP/1.1 999 X",
    "HTTP/1.1 20 X",
    "HTTP/1.1 2000 X",
    "HTTP/1.1 abc X",
    "HTTP/1.1 +20 X",
    "HTTP/1.1 -12 X",
    "HTTP/1.1 2\x000 X",
    "HTTP/1.1 200X",
    "HTTP/1.1",
    "HTTP/3.0 200 X",
    "200 X",
];

/// Field lines that are invalid in a head and in a trailer section.
const FIELD_LINES: [&[u8]; 14] = [
    b"X Y: 1",
    b"X\tY: 1",
    b"X\x01Y: 1",
    b"X\0Y: 1",
    b"X\x7fY: 1",
    b"X\xc3\xa9: 1",
    b": 1",
    b"X : 1",
    b"X",
    b" X: 1",
    b"X: 1\r\n 2",
    b"X: 1\x012",
    b"X: 1\x002",
    b"X: 1\x7f2",
];

/// Fields that do not state unambiguously where the body ends.
const FRAMINGS: [&str; 8] = [
    "Content-Length: 1\r\nContent-Length: 2",
    "Content-Length: +1",
    "Content-Length: -1",
    "Content-Length: ",
    "Content-Length: 0x1",
    "Content-Length: 99999999999999999999",
    "Transfer-Encoding: gzip",
    "Transfer-Encoding: gzip, chunked",
];

/// Fields that frame a chunked body twice.
const CHUNKED_FRAMINGS: [&str; 3] = [
    "Content-Length: 1\r\nTransfer-Encoding: chunked",
    "Transfer-Encoding: chunked, chunked",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
];

/// Lines in place of the size of a chunk.
const CHUNK_SIZES: [&str; 7] = ["0", "00", "", "+5", "-5", "0x5", "5 5"];

/// Answers with each status below 100, and such interim heads before an answer, with `headers` and `body`.
pub fn statuses(headers: &str, body: &str) -> Vec<Vec<u8>> {
    let rest = format!("{headers}Content-Length: {}\r\n\r\n{body}", body.len());
    let last = (0..100).map(|code| format!("HTTP/1.1 {code:03} X\r\n{rest}"));
    let interim =
        (0..100).map(|code| format!("HTTP/1.1 {code:03} X\r\n\r\nHTTP/1.1 200 OK\r\n{rest}"));
    last.chain(interim).map(String::into_bytes).collect()
}

/// Answers whose head is invalid, or an interim head before it, with `headers`, lines with their line breaks, and `body`.
pub fn heads(headers: &str, body: &str) -> Vec<Vec<u8>> {
    let length = format!("Content-Length: {}", body.len());
    let ok = "HTTP/1.1 200 OK";
    let sound = format!("{ok}\r\n{headers}{length}\r\n\r\n{body}");
    let mut answers = Vec::new();
    for line in STATUS_LINES {
        answers.push(format!("{line}\r\n{headers}{length}\r\n\r\n{body}").into_bytes());
        answers.push(format!("{line}\r\n\r\n{sound}").into_bytes());
    }
    for line in FIELD_LINES {
        let before = format!("{ok}\r\n{headers}{length}\r\n");
        let after = format!("\r\n\r\n{body}");
        answers.push([before.as_bytes(), line, after.as_bytes()].concat());
        let interim = b"HTTP/1.1 103 Early Hints\r\n".as_slice();
        let after = format!("\r\n\r\n{sound}");
        answers.push([interim, line, after.as_bytes()].concat());
    }
    for framing in FRAMINGS {
        answers.push(format!("{ok}\r\n{headers}{framing}\r\n\r\n{body}").into_bytes());
    }
    for framing in CHUNKED_FRAMINGS {
        let chunks = chunks(body);
        answers.push(format!("{ok}\r\n{headers}{framing}\r\n\r\n{chunks}0\r\n\r\n").into_bytes());
    }
    answers
}

/// Answers with `headers` and `body` whose chunks or trailers are invalid.
pub fn bodies(headers: &str, body: &str) -> Vec<Vec<u8>> {
    let head = format!("HTTP/1.1 200 OK\r\n{headers}Transfer-Encoding: chunked\r\n\r\n");
    let chunks = chunks(body);
    let trailers = FIELD_LINES.map(|line| {
        let before = format!("{head}{chunks}0\r\nX-First: 1\r\n");
        [before.as_bytes(), line, b"\r\n\r\n"].concat()
    });
    let first = CHUNK_SIZES.map(|size| format!("{head}{size}\r\n{body}\r\n0\r\n\r\n"));
    let second = CHUNK_SIZES.map(|size| format!("{head}{chunks}{size}\r\n{body}\r\n0\r\n\r\n"));
    let sizes = first.into_iter().chain(second).map(String::into_bytes);
    trailers.into_iter().chain(sizes).collect()
}

/// `body` as one chunk.
fn chunks(body: &str) -> String {
    format!("{:x}\r\n{body}\r\n", body.len())
}
