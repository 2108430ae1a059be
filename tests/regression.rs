//! `tools/regression` against stand-ins for the benches. It must never need the real benches.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// A kit whose benches print this and leave that snapshot.
fn kit(name: &str, printed: &str, days: &str) -> PathBuf {
    let kit = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    for bench in [
        "more/ops/bin",
        "more/bin",
        "more/mass/bin",
        "sites",
        "journal",
    ] {
        fs::create_dir_all(kit.join(bench)).unwrap();
    }
    fs::write(kit.join("sites/ub-timesheet.toml"), "").unwrap();
    let run = format!("{{\"error\": null, \"days\": [{days}]}}");
    fs::write(kit.join("journal/20260101T000000-ab12.json"), run).unwrap();
    for bench in [
        "more/ops/bin/lbreal",
        "more/bin/lbreal",
        "more/mass/bin/lbreal",
    ] {
        let script = format!(
            "#!/bin/sh\necho \"$0 $*\" >> {}/calls\n{printed}\n",
            kit.display()
        );
        fs::write(kit.join(bench), script).unwrap();
        fs::set_permissions(kit.join(bench), fs::Permissions::from_mode(0o755)).unwrap();
    }
    _ = fs::remove_file(kit.join("calls"));
    kit
}

/// Its exit code and what it prints.
fn regression(kit: &Path, words: &[&str]) -> (Option<i32>, String) {
    let tool = Path::new(env!("CARGO_MANIFEST_DIR")).join("tools/regression");
    let mut call = Command::new("bash");
    call.arg(tool)
        .args(words)
        .env("KIT", kit)
        .env("JOURNAL", kit.join("journal"))
        .env_remove("SITE");
    let done = call.output().unwrap();
    (
        done.status.code(),
        String::from_utf8_lossy(&done.stdout).into_owned(),
    )
}

const WELL: &str = r#"{"name": "calm", "rules": {"dup": 0, "lost": 0}, "fault": null}"#;
const PLAYED: &str =
    "echo 'score of the real nodes 0.512 (of all)'; echo GATE passed; echo snapshot ab12";

#[test]
fn each_panel_is_played_with_its_own_bench() {
    let kit = kit("well", PLAYED, WELL);
    let (code, printed) = regression(&kit, &[]);
    assert_eq!(code, Some(0), "{printed}");
    for panel in ["ops", "later", "mass", "brink", "vast"] {
        assert!(
            printed.contains(&format!("{panel}: 0.512, GATE passed\n")),
            "{printed}"
        );
    }
    let calls = fs::read_to_string(kit.join("calls")).unwrap();
    let calls: Vec<&str> = calls.lines().collect();
    assert_eq!(calls.len(), 5);
    let bench = |n: usize, bench: &str, named: &str| {
        assert!(
            calls[n].contains(bench) && calls[n].contains("--panel") != named.is_empty(),
            "{calls:?}"
        );
        assert!(calls[n].contains(named), "{calls:?}");
        assert!(calls[n].contains("--quick"), "{calls:?}");
    };
    bench(0, "more/ops/bin/lbreal", "");
    bench(1, "more/bin/lbreal", "--panel later");
    bench(2, "more/mass/bin/lbreal", "");
    bench(3, "more/mass/bin/lbreal", "--panel brink");
    bench(4, "more/bin/lbreal", "");
}

/// Prevents a regression from passing while a gate fails, a rule is broken, a node crashes or
/// nothing was played.
#[test]
fn what_went_wrong_fails_the_regression() {
    let broken = r#"{"name": "roll", "rules": {"dup": 0, "lost": 2}, "fault": null}"#;
    let crashed = r#"{"name": "roll", "rules": {}, "fault": "node 3 crashed"}"#;
    let gate = "echo 'score of the real nodes 0.4'; echo 'GATE failed: roll'; echo snapshot ab12";
    let unseen = "echo 'score of the real nodes 0.4'; echo snapshot ff00";
    for (name, printed, day, said) in [
        ("gate", gate, WELL, "mass: 0.4, GATE failed: roll"),
        ("rule", PLAYED, broken, "BROKEN: roll: lost 2"),
        ("crash", PLAYED, crashed, "BROKEN: roll: node 3 crashed"),
        ("unplayed", "echo no; exit 1", WELL, "mass: not played"),
        ("unscored", "echo nothing", WELL, "mass: not played"),
        ("unseen", unseen, WELL, "no snapshot"),
    ] {
        let (code, printed) = regression(&kit(name, printed, day), &["full", "mass"]);
        assert_eq!(code, Some(1), "{name}: {printed}");
        assert!(printed.contains(said), "{name}: {printed}");
    }
    let kit = kit("words", PLAYED, WELL);
    assert_eq!(regression(&kit, &["--what"]).0, Some(2));
    assert_eq!(regression(&kit, &["quick", "nothing"]).0, Some(2));
    assert_eq!(regression(&kit.join("nowhere"), &["mass"]).0, Some(2));
}
