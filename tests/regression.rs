//! Tests `tools/regression` against scripts in place of the benches, which the test does not need.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Creates a kit whose benches run `commands`, and a journal with a snapshot of these `days`.
fn create_kit(name: &str, commands: &str, days: &str) -> PathBuf {
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
            "#!/bin/sh\necho \"$0 $*\" >> {}/calls\n{commands}\n",
            kit.display()
        );
        fs::write(kit.join(bench), script).unwrap();
        fs::set_permissions(kit.join(bench), fs::Permissions::from_mode(0o755)).unwrap();
    }
    _ = fs::remove_file(kit.join("calls"));
    kit
}

/// Runs the tool and returns its exit code and its standard output.
fn run_regression(kit: &Path, args: &[&str]) -> (Option<i32>, String) {
    let tool = Path::new(env!("CARGO_MANIFEST_DIR")).join("tools/regression");
    let mut command = Command::new("bash");
    command
        .arg(tool)
        .args(args)
        .env("KIT", kit)
        .env("JOURNAL", kit.join("journal"))
        .env_remove("SITE");
    let output = command.output().unwrap();
    (
        output.status.code(),
        String::from_utf8_lossy(&output.stdout).into_owned(),
    )
}

/// A day of a snapshot without broken rules or faults.
const GOOD_DAY: &str = r#"{"name": "calm", "rules": {"dup": 0, "lost": 0}, "fault": null}"#;
/// The commands of a bench that passes.
const PASSING: &str =
    "echo 'score of the real nodes 0.512 (of all)'; echo GATE passed; echo snapshot ab12";

#[test]
fn each_panel_is_played_with_its_own_bench() {
    let kit = create_kit("passing", PASSING, GOOD_DAY);
    let (code, printed) = run_regression(&kit, &[]);
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
    let check_call = |n: usize, bench: &str, panel_option: &str| {
        assert!(
            calls[n].contains(bench) && calls[n].contains("--panel") != panel_option.is_empty(),
            "{calls:?}"
        );
        assert!(calls[n].contains(panel_option), "{calls:?}");
        assert!(calls[n].contains("--quick"), "{calls:?}");
    };
    check_call(0, "more/ops/bin/lbreal", "");
    check_call(1, "more/bin/lbreal", "--panel later");
    check_call(2, "more/mass/bin/lbreal", "");
    check_call(3, "more/mass/bin/lbreal", "--panel brink");
    check_call(4, "more/bin/lbreal", "");
}

/// Guards against a regression run that passes although a gate failed, a rule was broken, a node
/// crashed or nothing was played.
#[test]
fn a_failed_gate_broken_rule_crash_or_missing_run_fails_the_regression() {
    let broken = r#"{"name": "roll", "rules": {"dup": 0, "lost": 2}, "fault": null}"#;
    let crashed = r#"{"name": "roll", "rules": {}, "fault": "node 3 crashed"}"#;
    let gate = "echo 'score of the real nodes 0.4'; echo 'GATE failed: roll'; echo snapshot ab12";
    let missing = "echo 'score of the real nodes 0.4'; echo snapshot ff00";
    for (name, commands, day, expected) in [
        ("gate", gate, GOOD_DAY, "mass: 0.4, GATE failed: roll"),
        ("rule", PASSING, broken, "BROKEN: roll: lost 2"),
        ("crash", PASSING, crashed, "BROKEN: roll: node 3 crashed"),
        ("unplayed", "echo no; exit 1", GOOD_DAY, "mass: not played"),
        ("unscored", "echo nothing", GOOD_DAY, "mass: not played"),
        ("no_snapshot", missing, GOOD_DAY, "no snapshot"),
    ] {
        let (code, printed) = run_regression(&create_kit(name, commands, day), &["full", "mass"]);
        assert_eq!(code, Some(1), "{name}: {printed}");
        assert!(printed.contains(expected), "{name}: {printed}");
    }
    let kit = create_kit("usage", PASSING, GOOD_DAY);
    assert_eq!(run_regression(&kit, &["--what"]).0, Some(2));
    assert_eq!(run_regression(&kit, &["quick", "nothing"]).0, Some(2));
    assert_eq!(run_regression(&kit.join("nowhere"), &["mass"]).0, Some(2));
}
