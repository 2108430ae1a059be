//! The counts since the start, by offering, and their text for operators: a plain value without I/O. It owns
//! what was counted and the form in which that is told. It must never count what nobody saw happen on a
//! socket, nor count an attachment twice or backwards.

use crate::operators::counts::{Count, Counts};
use std::fmt::Write;

/// What became of the attachments of one offering.
#[derive(Clone, Debug, Default, PartialEq)]
struct Outcomes {
    name: String,
    served: u64,
    refused: u64,
    failed: u64,
}

/// How an attachment ended its wait, as the client was told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    Served,
    Refused,
    Failed,
}

/// What is so at this moment, beside what has been counted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Now {
    pub in_flight: usize,
    pub hosts_known: usize,
    pub hosts_excluded: usize,
}

#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// In the order in which offerings were first named; one that is no longer offered keeps its line.
    classes: Vec<Outcomes>,
    /// Attempts whose last byte was written to a host.
    attempts: u64,
    reloads: (u64, u64),
    counts: Counts,
}

/// A name as a part of a figure's: what separates parts there, or would end the line, is an underscore.
fn part(name: &str) -> String {
    let apart = |c: char| c.is_whitespace() || c.is_control() || ".:|@#,/".contains(c);
    name.chars()
        .map(|c| if apart(c) { '_' } else { c })
        .collect()
}

impl Tally {
    /// Has a line for each of these, also before anything came of it.
    pub fn offers(&mut self, names: &[String]) {
        for name in names.iter().map(|name| part(name)) {
            if !self.classes.iter().any(|o| o.name == name) {
                self.classes.push(Outcomes {
                    name,
                    ..Outcomes::default()
                });
            }
        }
    }

    pub fn came_to(&mut self, class: &str, outcome: Outcome) {
        let name = part(class);
        let Some(of) = self.classes.iter_mut().find(|o| o.name == name) else {
            return;
        };
        match outcome {
            Outcome::Served => of.served += 1,
            Outcome::Refused => of.refused += 1,
            Outcome::Failed => of.failed += 1,
        }
    }

    /// One more of its kind.
    pub fn add(&mut self, count: Count) {
        self.counts.add(count);
    }

    pub fn attempted(&mut self) {
        self.attempts += 1;
    }

    /// Papers were read again, and taken up or not.
    pub fn reread(&mut self, taken: bool) {
        match taken {
            true => self.reloads.0 += 1,
            false => self.reloads.1 += 1,
        }
    }

    /// All figures, a line each.
    pub fn text(&self, now: &Now) -> String {
        let mut text = String::new();
        let mut line =
            |name: &str, value: u64, kind: &str| _ = writeln!(text, "app.{name}:{value}|{kind}");
        for of in &self.classes {
            let outcomes = [
                ("served", of.served),
                ("refused", of.refused),
                ("failed", of.failed),
            ];
            outcomes.into_iter().for_each(|(what, count)| {
                line(&format!("requests.{}.{what}", of.name), count, "c");
            });
        }
        line("attempts", self.attempts, "c");
        line("in_flight", now.in_flight as u64, "g");
        line("hosts_known", now.hosts_known as u64, "g");
        line("hosts_excluded", now.hosts_excluded as u64, "g");
        line("reloads_ok", self.reloads.0, "c");
        line("reloads_failed", self.reloads.1, "c");
        text + &self.counts.text()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn figures_stand_a_line_each_under_names_that_cannot_be_misread() {
        let mut tally = Tally::default();
        tally.offers(&["chat".into(), "a.b:c|d e".into(), "chat".into()]);
        tally.came_to("chat", Outcome::Served);
        tally.came_to("chat", Outcome::Refused);
        tally.came_to("a.b:c|d e", Outcome::Failed);
        tally.came_to("nobody's", Outcome::Failed);
        tally.attempted();
        tally.reread(true);
        tally.reread(false);
        let text = tally.text(&Now {
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
}
