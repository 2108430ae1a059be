//! The text of the metrics.

use super::*;

#[test]
fn metrics_have_a_line_each_under_names_that_cannot_be_misread() {
    let mut metrics = Tally::default();
    metrics.offers(&["chat".into(), "a.b:c|d e".into(), "chat".into()]);
    metrics.came_to("chat", Outcome::Served);
    metrics.came_to("chat", Outcome::Refused);
    metrics.came_to("a.b:c|d e", Outcome::Failed);
    metrics.came_to("nobody's", Outcome::Failed);
    metrics.attempted();
    metrics.reread(true);
    metrics.reread(false);
    let text = metrics.text(&Now {
        in_flight: 14,
        hosts_known: 9,
        hosts_excluded: 2,
    });
    let wanted =
        "app.requests.chat.served:1|c\napp.requests.chat.refused:1|c\napp.requests.chat.failed:0|c\n\
        app.requests.a_b_c_d_e.served:0|c\napp.requests.a_b_c_d_e.refused:0|c\n\
        app.requests.a_b_c_d_e.failed:1|c\napp.attempts:1|c\napp.in_flight:14|g\napp.hosts_known:9|g\n\
        app.hosts_excluded:2|g\napp.reloads_ok:1|c\napp.reloads_failed:1|c\n";
    assert_eq!(text, wanted.to_string() + &Counts::default().text());
}
