//! Tests of reading the endpoint list of the list service.

use super::*;

fn read(text: &str, size: usize) -> Result<EndpointList, ListError> {
    let mut reader = ListReader::default();
    for piece in text.as_bytes().chunks(size) {
        reader.feed(piece)?;
    }
    reader.finish()
}

const LIST: &str = r#"{"revision":41,"more":{"members":[{"id":"no"}]},"complete":true,"members":[
    {"id":"s-5b\u00e9\"","host_port":"10.1.0.18:5000","locality":"a","flavor":"m2","tags":["x",{"id":"y"}],
     "cell":3,"phase":"active","size":1.5,"up_since_ms":1700000000000},
    {"id":"s-2","host_port":"10.1.0.19:5000","phase":"leaving","up_since_ms":0}]} "#;

#[test]
fn reads_a_list_regardless_of_how_it_is_split() {
    for size in 1..LIST.len() {
        let list = read(LIST, size).unwrap();
        assert_eq!(
            (list.revision, list.complete, list.members.len()),
            (41, true, 2)
        );
        let first = &list.members[0];
        assert_eq!(
            (first.name.as_str(), first.zone.as_str(), first.cell),
            ("s-5b\u{e9}\"", "a", 3)
        );
        assert_eq!(
            (first.size, first.started),
            (1.5, Some(1_700_000_000_000 * MILLI))
        );
        assert_eq!(first.address, Some("10.1.0.18:5000".parse().unwrap()));
        assert_eq!(
            (list.members[1].state, list.members[1].started),
            (HostState::Draining, None)
        );
    }
}

#[test]
fn rejects_malformed_lists() {
    for text in [
        "",
        "[]",
        "7",
        "{}",
        r#"{"revision":1"#,
        r#"{"revision":-1}"#,
        r#"{"revision":1}}"#,
        r#"{"revision":1,}"#,
        r#"{"revision":1,"members":[{}]}"#,
        r#"{"revision":1,"members":[{"id":"a","phase":"asleep"}]}"#,
        r#"{"revision":1,"members":[{"id":"a","host_port":"nowhere"}]}"#,
        r#"{"revision":1,"x":nope}"#,
        "{\"revision\":1,\"x\":\"\u{1}\"}",
    ] {
        assert!(read(text, 5).is_err(), "{text}");
    }
    assert!(read(
        &format!("{{\"revision\":1,\"x\":\"{}\"}}", "y".repeat(300)),
        9
    )
    .is_err());
    assert!(read(&format!("{{\"revision\":1,\"x\":{}", "[".repeat(30)), 9).is_err());
    let long = "y".repeat(LIST.len() - 1);
    assert!(read(&long, 7).is_err());
    for cut in 1..LIST.len() - 2 {
        assert!(read(&LIST[..cut], 11).is_err());
    }
}
