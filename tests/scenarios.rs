//! Plays every file of `tests/scenarios` through the balancer. A file has one step per line, and `#`
//! starts a comment. `MS` is a time in milliseconds since the start of the scenario.
//!
//! Set-up; hosts may also change between events:
//!
//!     settings KEY=VALUE ...         changes settings of the node, before the first event
//!     class KEY=VALUE ...            adds a request class
//!     accept HOST ...                attempts at these hosts, and no others, succeed at once from now on
//!     reject HOST ...                attempts at these hosts, and no others, are rejected at once from now on
//!
//! Events:
//!
//!     MS endpoints KIND HOST[:STATE,KEY=VALUE...] ...   an update of the endpoint list: full, delta, cached or failed
//!     MS arrive ID KEY=VALUE ...     a request arrives
//!     MS arrive A-B EVERY KEY=VALUE ...   requests with the ids from A to B arrive, one every EVERY milliseconds
//!     MS arrive ID prior-attempts=N may-have-run=HOST@MS tried=HOST|HOST ...   a request is taken over from another
//!                                    node, with the number of its attempts, the host of the first attempt that may
//!                                    have run and how long ago that was sent, and the hosts of all attempts
//!     MS open ID HOST KEY=VALUE ...  a connection that was open before the start is found
//!     MS established ID [TOOK]       the attempt in flight succeeds; the set-up took TOOK milliseconds, or 20
//!     MS ended ID OUTCOME            the attempt in flight or the open connection ends
//!     MS client-left ID              the client disconnects
//!     MS load ID CORES               the load of an open connection is measured
//!     MS message-latency HOST MS     the latency of messages at the host is measured
//!     MS probe-report HOST LOAD|nan|silent   a probe of the host returns its load or an invalid one, or times out
//!     MS gossip HOST LOAD            another node gossips the host's load
//!     MS gossip-bytes HEX            another node sends these bytes
//!     MS slow-start-slots NODE:SHARE ...   assigns the slow-start slots that this node may use, and the share of each
//!     MS probe-targets HOST ...      assigns the hosts that this node probes
//!     MS shutdown FROM BY            the node shuts down; both times are relative to MS
//!     MS break-connections HOST N    up to N open connections at the host break
//!     MS wait                        nothing happens until this time
//!
//! Expectations about the actions since the last event:
//!
//!     sends ID HOST[|HOST]           an attempt starts at one of these hosts
//!     rejects ID | fails ID          the request is rejected, or fails
//!     migrates ID                    the client of the connection is migrated
//!     cancels ID                     the attempt is cancelled
//!     requests-list                  the endpoint list is polled or watched
//!     logs TEXT                      a log line starts with the text
//!     no-action                      there are no actions other than timers and log lines
//!
//! Expectations about counts, with inclusive bounds:
//!
//!     attempts HOST MIN MAX          attempts at the host since its attempts were last counted
//!     hosts-used MIN MAX             hosts with attempts since attempts were last counted
//!     connections HOST|all MIN MAX   connections open at the host, or at all hosts
//!     unserved MIN MAX               requests answered so far that no host accepted
//!     probes MIN MAX                 probes sent since probes were last counted
//!     gossip-messages MIN MAX        gossip messages sent since these were last counted
//!
//! In every scenario the player lets attempts time out at their limit and checks these rules: a
//! request gets one answer, in time; it has at most one attempt in flight, and no more attempts than
//! the settings allow; nothing new goes to hosts that are draining or gone; a non-idempotent request
//! that may have run is neither repeated nor rejected; probes and gossip are sent only if the
//! settings allow them.

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
