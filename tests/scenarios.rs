//! Plays every file of `tests/scenarios` through the decision module. The notation, one step a line:
//!
//!     charter KEY=VALUE ...          settings of the node, before anything else
//!     offering KEY=VALUE ...         one more request class
//!     MS roll KIND HOST[:WORD,KEY=VALUE...] ...   an update of the endpoint list: full, changes, cached or failed
//!     MS arrive ID KEY=VALUE ...     a request; MS arrive A-B EVERY KEY=VALUE ... many of them
//!     MS arrive ID past=N ran=HOST@MS tried=HOST|HOST ...   taken over from another node, with its attempts,
//!                                    the first that may have run and how long ago, and where it was
//!     MS open ID HOST KEY=VALUE ...  a connection open before the start
//!     MS begun ID [TOOK] | MS ended ID HOW | MS left ID | MS load ID CORES | MS slow HOST MS | MS wait
//!     MS report HOST LOAD|silent     a probe of the host comes back with its load, or with no answer in time
//!     MS heard HOST LOAD             another node gossips the host's load
//!     MS heard-bytes HEX             another node sends anything else
//!     MS turns NODE:SHARE ...        the slow-start slots that this node may use, and how much of each
//!     MS looks HOST ...              the hosts that this node is to probe
//!     MS leaving FROM BY             the node shuts down: both times counted from then
//!     MS breaks HOST N               so many open connections break there, or all of them by a large N
//!     auto HOST ... | shut HOST ...  attempts there succeed, or are rejected, at once from now on
//!     sends ID HOST[|HOST] | dismisses ID | gives-up ID | moves ID | asks | calls-off ID | quiet
//!                                    an attempt starts, the request is rejected or fails, its client is migrated, the list is
//!                                    asked for, the attempt is cancelled, nothing happens
//!     logs TEXT                      a log line starts with the text
//!     count HOST MIN MAX             attempts at the host since the last count of it
//!     held HOST MIN MAX              connections open at the host, or anywhere by the name all
//!     turned-away MIN MAX            requests answered so far that no host took
//!     looked MIN MAX | told MIN MAX  probes sent, and gossip messages, since the last such count
//!     used MIN MAX                   hosts with attempts since the last such count
//!
//! Expectations are about the actions since the last event. Throughout, the player lets attempts
//! time out at their limit and holds the four rules: one answer, in time; one attempt in flight;
//! nothing new to hosts that are draining or gone; no repeat of a non-idempotent request that may have run.

mod scenario_player;

use scenario_player::Player;
use std::path::Path;

#[test]
fn scenarios() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .unwrap()
        .map(|file| file.unwrap().path())
        .collect();
    files.sort();
    assert!(!files.is_empty());
    for file in files {
        let mut player = Player::new();
        let text = std::fs::read_to_string(&file).unwrap();
        for (index, line) in text.lines().enumerate() {
            let words: Vec<&str> = line.split('#').next().unwrap().split_whitespace().collect();
            if !words.is_empty() {
                eprintln!("{}:{} {line}", file.display(), index + 1);
                player.step(&words);
            }
        }
        player.finish();
    }
}
