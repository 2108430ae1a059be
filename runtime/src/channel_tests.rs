//! Tests for channels between processes.

use super::*;

#[test]
fn messages_and_descriptors_arrive_whole_and_a_stale_path_is_replaced() {
    let path = std::env::temp_dir().join(format!("reedferry-channel-{}", std::process::id()));
    std::fs::write(&path, "something else").unwrap();
    let budget = DescriptorBudget::new(64);
    let before = budget.in_use();
    assert!(budget.connect_unix(&path).is_err());
    let listener = budget.listen_unix(&path).unwrap();
    let successor = budget.connect_unix(&path).unwrap();
    let predecessor = budget.accept_unix(&listener).unwrap();
    let handed_over = budget.listen(&"127.0.0.1:0".parse().unwrap()).unwrap();
    predecessor.send_with_descriptors(b"one", &[]).unwrap();
    predecessor
        .send_with_descriptors(b"two", &[handed_over.as_fd()])
        .unwrap();
    let mut buffer = [0; 16];
    assert!(
        matches!(budget.receive_with_descriptors(&successor, &mut buffer), Ok((3, none)) if none.is_empty())
    );
    let (length, received) = budget
        .receive_with_descriptors(&successor, &mut buffer)
        .unwrap();
    assert_eq!(
        (&buffer[..length], received[0].local_address()),
        (&b"two"[..], handed_over.local_address())
    );
    assert_eq!(
        budget
            .receive_with_descriptors(&successor, &mut buffer)
            .err(),
        Some(Errno::AGAIN)
    );
    drop((predecessor, received));
    assert!(matches!(
        budget.receive_with_descriptors(&successor, &mut buffer),
        Ok((0, _))
    ));
    drop((listener, successor, handed_over));
    assert_eq!(budget.in_use(), before);
    std::fs::remove_file(&path).unwrap();
}
