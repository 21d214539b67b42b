//! Order of positions in the store, and their packed form between entries.

use almondwell_core::position::Position;

const fn position(era: u64, revision: u64) -> Position {
    Position { era, revision }
}

macro_rules! cases {
    ($($name:ident: $older:expr, $newer:expr;)*) => {
        $(#[test]
        fn $name() {
            let (older, newer) = ($older, $newer);
            assert!(older < newer);
            assert!(older.pack() < newer.pack());
            for position in [older, newer] {
                assert_eq!(Position::unpack(position.pack()), position);
            }
        })*
    };
}

// Guards against a revision that is taken for newer than a lower one of a later era, also by earlier versions, which compare
// the packed numbers.
cases! {
    orders_revisions_within_an_era: position(3, 9), position(3, 10);
    orders_by_era_first: position(1, 1 << 39), position(2, 1);
    orders_a_store_without_eras_first: position(0, 70), position(1, 7);
}

/// Guards against messages that earlier versions read differently while the store names no era.
#[test]
fn equals_the_revision_in_era_0() {
    assert_eq!(position(0, 70).pack(), 70);
    assert_eq!(Position::unpack(70), position(0, 70));
}

/// Guards against numbers too large for the packed form that would come out as smaller ones.
#[test]
fn keeps_the_order_of_numbers_too_large_to_pack() {
    assert!(position(1, u64::MAX).pack() < position(2, 0).pack());
    assert!(position(7, 0).pack() < position(u64::MAX, 0).pack());
}
