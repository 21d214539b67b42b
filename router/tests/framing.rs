//! Decoding of complete, partial and malformed bodies.

use almondwell_router::framing::{Decoder, Framing, LAST_CHUNK, Malformed, write_chunk};

/// Decodes `input` in pieces of `step` bytes; returns the body, the bytes not consumed, and whether the body is
/// complete.
fn decode(
    framing: Framing,
    input: &[u8],
    step: usize,
) -> Result<(Vec<u8>, Vec<u8>, bool), Malformed> {
    let mut decoder = Decoder::new(framing);
    let (mut body, mut waiting) = (Vec::new(), Vec::new());
    for piece in input.chunks(step) {
        waiting.extend_from_slice(piece);
        let used = decoder.decode(&waiting, &mut body)?;
        waiting.drain(..used);
    }
    Ok((body, waiting, decoder.is_done()))
}

macro_rules! cases {
    ($($name:ident: $framing:expr, $input:expr => $body:expr, $left:expr, $done:expr;)*) => {
        $(#[test]
        fn $name() {
            for step in [1, 2, 3, 7, 1000] {
                let found = decode($framing, $input, step);
                assert_eq!(found, Ok(($body.to_vec(), $left.to_vec(), $done)), "pieces of {step}");
            }
        })*
    };
}

cases! {
    ends_at_the_content_length: Framing::Length(3), b"abcde" => b"abc", b"de", true;
    an_empty_body_is_complete: Framing::Length(0), b"next" => b"", b"next", true;
    a_short_body_is_not_complete: Framing::Length(9), b"abc" => b"abc", b"", false;
    joins_chunks: Framing::Chunked, b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n" => b"abcde", b"", true;
    discards_extensions_and_trailers: Framing::Chunked, b"1;x=y\r\na\r\n0\r\nT: 1\r\n\r\nnext" => b"a", b"next", true;
    a_body_without_its_last_chunk_is_not_complete: Framing::Chunked, b"1\r\na\r\n" => b"a", b"", false;
    reads_until_the_connection_closes: Framing::Close, b"abc" => b"abc", b"", false;
}

macro_rules! malformed {
    ($($name:ident: $input:expr;)*) => {
        $(#[test]
        fn $name() {
            for step in [1, 3, 1000] {
                assert_eq!(decode(Framing::Chunked, $input, step), Err(Malformed), "pieces of {step}");
            }
        })*
    };
}

malformed! {
    rejects_an_invalid_chunk_size: b"xyz\r\nabc\r\n";
    rejects_a_chunk_longer_than_its_size: b"2\r\nabc\r\n0\r\n\r\n";
    rejects_an_overflowing_chunk_size: b"fffffffffffffffff\r\n";
    // Guards against a chunk that is taken for trailers since its size is spoiled.
    rejects_a_chunk_after_the_last_one: b"3\r\nabc\r\n0\r\nabc\r\n0\r\n\r\n";
    rejects_an_event_after_the_last_chunk: b"0\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";
    rejects_an_empty_chunk_size: b"\r\n0\r\n\r\n";
    rejects_a_trailer_without_a_name: b"0\r\n: 1\r\n\r\n";
    rejects_a_trailer_with_a_blank_in_its_name: b"0\r\nX Y: 1\r\n\r\n";
    rejects_a_trailer_with_a_control_byte: b"0\r\nX: \x01\r\n\r\n";
    rejects_trailers_without_end: &[b"0\r\n".as_slice(), &b"X-Trailer: one\r\n".repeat(1000)].concat();
}

#[test]
fn decodes_what_write_chunk_encodes() {
    let mut out = Vec::new();
    for piece in [&b"one"[..], b"", b"two"] {
        write_chunk(&mut out, piece);
    }
    out.extend_from_slice(LAST_CHUNK);
    let found = decode(Framing::Chunked, &out, 4);
    assert_eq!(found, Ok((b"onetwo".to_vec(), Vec::new(), true)));
}
