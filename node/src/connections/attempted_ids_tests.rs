use super::*;

const NOW: Nanos = 100 * SECOND;

fn id(number: usize) -> IdHash {
    IdHash::of(&format!("{number:x}"))
}

#[test]
fn an_id_is_remembered_until_its_time_is_over_also_if_it_is_recorded_twice() {
    let mut ids = AttemptedIds::default();
    ids.remember(NOW, id(1), NOW + 10);
    ids.remember(NOW + 5, id(1), NOW + 20);
    for (later, remembered) in [(0, true), (10, true), (19, true), (20, false)] {
        assert_eq!(ids.contains(NOW + later, id(1)), remembered, "{later}");
    }
    assert!(!ids.contains(NOW, id(2)) && ids.expiries.is_empty() && ids.order.is_empty());
}

/// Guards against memory that grows with each new id, and against a full table that forgets ids before their time.
#[test]
fn a_full_table_says_so_and_keeps_all_its_ids_until_their_time_is_over() {
    let mut ids = AttemptedIds::default();
    for number in 0..MAX_IDS {
        assert!(!ids.is_full(NOW), "{number}");
        ids.remember(NOW, id(number), NOW + 10);
    }
    assert!(ids.is_full(NOW + 9));
    assert!((0..MAX_IDS).all(|number| ids.contains(NOW + 9, id(number))));
    assert!(!ids.is_full(NOW + 10) && ids.expiries.is_empty());
}

#[test]
fn ids_are_remembered_for_twice_the_longest_timeout_and_ten_seconds_at_least() {
    assert_eq!(retention(0), 10 * SECOND);
    assert_eq!(retention(3 * SECOND), 10 * SECOND);
    assert_eq!(retention(30 * SECOND), 60 * SECOND);
    assert_eq!(retention(Nanos::MAX), Nanos::MAX);
}
