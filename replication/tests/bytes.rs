//! The exact bytes of questions and answers about records: an older and a newer process keep records for each other.

use reedferry_replication::{guardians, Answer, Holder, Question, Record, Term};

const KEY: u64 = 0x0123_4567_89ab_cdef;

fn term(number: u64, place: u32) -> Term {
    Term {
        number,
        holder: Holder {
            place,
            life: 1_700_000_000_000,
        },
    }
}

fn hex(value: &impl serde::Serialize) -> String {
    postcard::to_allocvec(value)
        .unwrap()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

#[test]
fn questions_keep_their_bytes() {
    let record = Record {
        history: vec![1, 2, 255],
        over: true,
    };
    assert_eq!(
        hex(&Question::Claim {
            key: KEY,
            term: term(3, 2)
        }),
        "00ef9bafcdf8acd19101030280d095ffbc31"
    );
    assert_eq!(
        hex(&Question::Keep {
            key: KEY,
            term: term(300, 0),
            seq: 9,
            record
        }),
        "01ef9bafcdf8acd19101ac020080d095ffbc3109030102ff01"
    );
}

#[test]
fn answers_keep_their_bytes() {
    let record = Record {
        history: vec![7; 3],
        over: false,
    };
    let granted = Answer::Granted {
        key: KEY,
        term: term(3, 2),
        kept: Some((term(2, 1), record, 1_000_000_007)),
    };
    assert_eq!(
        hex(&granted),
        "00ef9bafcdf8acd19101030280d095ffbc3101020180d095ffbc3103070707008794ebdc03"
    );
    assert_eq!(
        hex(&Answer::Granted {
            key: KEY,
            term: term(3, 2),
            kept: None
        }),
        "00ef9bafcdf8acd19101030280d095ffbc3100"
    );
    assert_eq!(
        hex(&Answer::Kept {
            key: KEY,
            term: term(3, 2),
            seq: 70_000
        }),
        "01ef9bafcdf8acd19101030280d095ffbc31f0a204"
    );
    assert_eq!(
        hex(&Answer::Refused {
            key: KEY,
            term: term(3, 2),
            by: Some(term(4, 1))
        }),
        "02ef9bafcdf8acd19101030280d095ffbc3101040180d095ffbc31"
    );
    assert_eq!(
        hex(&Answer::Refused {
            key: KEY,
            term: term(3, 2),
            by: None
        }),
        "02ef9bafcdf8acd19101030280d095ffbc3100"
    );
}

/// Who keeps a record follows from its key alone: two builds that choose otherwise would share no majority.
#[test]
fn the_members_that_keep_a_record_stay_the_same() {
    let chosen = |key, roster| guardians(key, roster);
    assert_eq!(chosen(KEY, 0), [0; 0]);
    assert_eq!(chosen(KEY, 2), [1, 0]);
    assert_eq!(chosen(KEY, 5), [3, 2, 4]);
    assert_eq!(chosen(1, 300), [167, 141, 274]);
}
