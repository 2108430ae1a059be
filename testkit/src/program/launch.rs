//! Builds the commands that start the program and writes the config files that they name.

use super::files::write_file;
use serde_json::Value;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// The environment variable that names the file of the node config.
const NODE_CONFIG_VARIABLE: &str = "GW_CONFIG";
/// The placeholder for the path of the node config in an operator config.
const NODE_CONFIG_PLACEHOLDER: &str = "PAPERS";

/// Returns the path of the program: what `REEDFERRY_PROGRAM` names, or else `reedferry` in the folder of the running
/// executable or in the folder above.
///
/// # Panics
/// Panics if there is no such file.
pub fn path() -> PathBuf {
    if let Some(named) = std::env::var_os("REEDFERRY_PROGRAM") {
        return named.into();
    }
    let own = std::env::current_exe().expect("the path of the running executable is unknown");
    own.ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join("reedferry"))
        .find(|path| path.is_file())
        .expect("program `reedferry` not found: build it first")
}

/// Returns a command that runs the program with this node config and with its output piped.
pub fn program(node_config: &str) -> Command {
    Launch::node(&path(), node_config).command
}

/// Like [`program`], with clients accepted at the inherited descriptor `listener` and with `folder` for hot restarts.
pub fn program_at(node_config: &str, listener: &str, folder: &Path) -> Command {
    Launch::node(&path(), node_config)
        .at(listener, folder)
        .command
}

/// Returns a listener that processes started from now on inherit.
pub fn listener() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    rustix::io::fcntl_setfd(&listener, rustix::io::FdFlags::empty()).unwrap();
    listener
}

/// A command that starts the program, and the files that were written for it.
pub(super) struct Launch {
    pub command: Command,
    pub node_config_file: PathBuf,
    /// The operator config of a role other than a single node; `None` for a single node.
    pub operator_config_file: Option<PathBuf>,
}

impl Launch {
    /// Prepares a node with this node config.
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

    /// Prepares a process in a role, with this operator config.
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

    /// Lets the process accept clients at an inherited descriptor, with this folder for what processes leave to their
    /// successors.
    pub(super) fn at(mut self, listener: &str, folder: &Path) -> Self {
        self.command
            .env("GW_ACCEPT_FD", listener)
            .env("TMPDIR", folder);
        self
    }

    /// Limits the number of descriptors of the process.
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
