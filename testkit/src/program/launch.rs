//! How the program is started: the commands, the files that they name, and where clients are accepted.

use super::files::write_file;
use serde_json::Value;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// The environment variable that names the file of the node config.
const NODE_CONFIG_VARIABLE: &str = "GW_CONFIG";
/// What stands for the file of the node config in an operator config.
const NODE_CONFIG_PLACEHOLDER: &str = "PAPERS";

/// The program: what `REEDFERRY_PROGRAM` names, or `reedferry` in the folder of what runs, or above that.
///
/// # Panics
/// Where there is none.
pub fn path() -> PathBuf {
    if let Some(named) = std::env::var_os("REEDFERRY_PROGRAM") {
        return named.into();
    }
    let own = std::env::current_exe().expect("no path of its own");
    own.ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join("reedferry"))
        .find(|path| path.is_file())
        .expect("no program: build `reedferry` first")
}

/// The program with this node config, its output kept.
pub fn program(node_config: &str) -> Command {
    Launch::node(&path(), node_config).command
}

/// The same, with clients accepted at the descriptor that is named so.
pub fn program_at(node_config: &str, listener: &str, folder: &Path) -> Command {
    Launch::node(&path(), node_config)
        .at(listener, folder)
        .command
}

/// A listener that programs started from here on inherit.
pub fn listener() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    rustix::io::fcntl_setfd(&listener, rustix::io::FdFlags::empty()).unwrap();
    listener
}

/// A command that starts the program, and the files that were written for it.
pub(super) struct Launch {
    pub command: Command,
    pub node_config_file: PathBuf,
    /// The file of a role other than a single node.
    pub operator_config_file: Option<PathBuf>,
}

impl Launch {
    /// A node with this node config.
    pub(super) fn node(program: &Path, node_config: &str) -> Self {
        let node_config_file = write_file("json", node_config);
        let mut command = Command::new(program);
        command.env(NODE_CONFIG_VARIABLE, &node_config_file);
        Launch {
            command: piped(command),
            node_config_file,
            operator_config_file: None,
        }
    }

    /// The program in a role, by an operator config.
    pub(super) fn role(
        program: &Path,
        role: &str,
        operator_config: &str,
        node_config: &Value,
    ) -> Self {
        let node_config_file = write_file("json", &node_config.to_string());
        let operator_config = operator_config.replace(
            NODE_CONFIG_PLACEHOLDER,
            &node_config_file.display().to_string(),
        );
        let operator_config_file = write_file("toml", &operator_config);
        let mut command = Command::new(program);
        command.arg(role).arg("--config").arg(&operator_config_file);
        Launch {
            command: piped(command),
            node_config_file,
            operator_config_file: Some(operator_config_file),
        }
    }

    /// Accepts clients at this descriptor, with this folder for what processes leave to their successors.
    pub(super) fn at(mut self, listener: &str, folder: &Path) -> Self {
        self.command
            .env("GW_ACCEPT_FD", listener)
            .env("TMPDIR", folder);
        self
    }

    /// Limits the process to so many descriptors.
    pub(super) fn with_descriptor_limit(self, descriptors: usize) -> Self {
        let mut command = Command::new("sh");
        command
            .args(["-c", &format!("ulimit -n {descriptors}; exec \"$0\"")])
            .arg(self.command.get_program());
        command.envs(
            self.command
                .get_envs()
                .filter_map(|(name, value)| Some((name, value?))),
        );
        Launch {
            command: piped(command),
            ..self
        }
    }
}

fn piped(mut command: Command) -> Command {
    command
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .stdin(Stdio::null());
    command
}
