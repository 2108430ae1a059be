//! The exact bytes of what passes between nodes about records, and of a history as it is kept.

use super::*;
use reedferry_replication::Term;

fn hex(value: &impl Serialize) -> String {
    postcard::to_allocvec(value)
        .unwrap()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

#[test]
fn questions_and_answers_keep_their_bytes() {
    let term = Term {
        number: 3,
        holder: Holder {
            place: 2,
            life: 1_700_000_000_000,
        },
    };
    let question = Word::Question(Question::Claim { key: 5, term });
    assert_eq!(hex(&question), "000005030280d095ffbc31");
    let answer = Word::Answer(Answer::Kept {
        key: 5,
        term,
        seq: 1,
    });
    assert_eq!(hex(&answer), "010105030280d095ffbc3101");
}

#[test]
fn a_history_keeps_its_bytes() {
    let history = History {
        attempts: 3,
        ran: Some((0x0102_0304_0506_0708, 2 * SECOND)),
        tried: vec![8, 9],
    };
    assert_eq!(hex(&history), "0301888e98a8c0e080810180a8d6b907020809");
    assert_eq!(hex(&History::default()), "000000");
}
