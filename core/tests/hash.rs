//! Stable hashes.

use almondwell_core::hash;

/// Guards against another identity of a request once its body lies in pieces: entries of other versions know the hash of the whole.
#[test]
fn pieces_have_the_hash_of_the_whole() {
    let parts: [&[u8]; 2] = [b"host", b"target"];
    let whole = hash::number(&[parts[0], parts[1], b"a body in pieces"]);
    for pieces in [
        vec!["a body in pieces"],
        vec!["a ", "body in", "", " pieces"],
    ] {
        let pieces = pieces.iter().map(|piece| piece.as_bytes());
        assert_eq!(hash::number_with_pieces(&parts, pieces), whole);
    }
    let empty = hash::number(&[parts[0], parts[1], b""]);
    assert_eq!(hash::number_with_pieces(&parts, [].into_iter()), empty);
}
