use super::*;

/// Guards against a page that loads anything from elsewhere, or that leaves out a count.
#[test]
fn the_page_is_self_contained_and_shows_every_count() {
    let row = |name: &str, by_second: &[usize]| Row {
        name: name.into(),
        by_second: by_second.to_vec(),
    };
    let page = page(
        "a <start>",
        &[row("calls", &[7, 0, 311]), row("hosts", &[2])],
    );
    assert!(!page.contains("http") && !page.contains("src=") && page.contains("a &lt;start&gt;"));
    assert_eq!(page.matches("<rect").count(), 4);
    assert!(
        page.contains("<td>0</td><td>7</td><td>2</td>")
            && page.contains("<td>2</td><td>311</td><td></td>")
    );
    assert!(page.contains("height=\"120.0\"><title>second 2: 311</title>"));
}
