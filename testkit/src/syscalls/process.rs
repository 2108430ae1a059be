//! Starts a program that is traced by a thread of its own.

use super::filter::seccomp_filter;
use super::tracer::Tracer;
use super::SyscallInjector;
use crate::spawn_guard;
use std::io;
use std::os::unix::process::CommandExt;
use std::process::{ChildStderr, Command, ExitStatus};
use std::sync::mpsc::channel;
use std::thread;

/// A process of the program that a [`SyscallInjector`] controls.
pub struct TracedProcess {
    pid: libc::pid_t,
    injector: SyscallInjector,
}

impl TracedProcess {
    /// Starts the program, whose standard error has to be piped. A thread of its own traces the process until it
    /// ends.
    ///
    /// # Errors
    /// Returns the error if the process could not be started or traced.
    pub fn start(
        mut command: Command,
        injector: &SyscallInjector,
    ) -> io::Result<(TracedProcess, ChildStderr)> {
        let (sender, started) = channel();
        let tracer_injector = injector.clone();
        thread::spawn(move || {
            let filter = seccomp_filter();
            // SAFETY: the closure only makes calls that are safe after a fork, on memory allocated before it.
            unsafe { command.pre_exec(move || trace_me(&filter)) };
            match spawn_guard::spawn(&mut command) {
                Ok(mut child) => {
                    let pid = child.id() as libc::pid_t;
                    let stderr = child.stderr.take().expect("standard error is not piped");
                    _ = sender.send(Ok((pid, stderr)));
                    Tracer::new(pid, tracer_injector).run();
                }
                Err(error) => _ = sender.send(Err(error)),
            }
        });
        let (pid, stderr) = started.recv().expect("the tracer thread ended")?;
        Ok((
            TracedProcess {
                pid,
                injector: injector.clone(),
            },
            stderr,
        ))
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.pid as u32
    }

    /// Waits for the end of the process.
    pub fn wait(&self) -> ExitStatus {
        self.injector.wait_for_exit()
    }

    /// Returns whether the process is still running.
    pub fn runs(&self) -> bool {
        !self.injector.has_exited()
    }

    /// Sends SIGKILL if the process is still running.
    pub fn kill(&self) {
        self.injector.request_suspend(false);
        if self.runs() {
            // SAFETY: sends a signal to a child that has not been waited for.
            unsafe { libc::kill(self.pid, libc::SIGKILL) };
        }
    }

    /// Suspends the process. Returns once it is suspended or has ended.
    pub fn suspend(&self) {
        self.injector.request_suspend(true);
        // SAFETY: as above. The tracer keeps the process stopped at the point where the signal arrives.
        unsafe { libc::kill(self.pid, libc::SIGSTOP) };
        self.injector.wait_until_suspended();
    }

    /// Ends [`TracedProcess::suspend`].
    pub fn unsuspend(&self) {
        self.injector.request_suspend(false);
    }
}

/// Lets the parent trace this process and installs the seccomp filter.
fn trace_me(filter: &[libc::sock_filter]) -> io::Result<()> {
    let program = libc::sock_fprog {
        len: filter.len() as u16,
        filter: filter.as_ptr().cast_mut(),
    };
    // SAFETY: these system calls only use values that outlive them.
    let failed = unsafe {
        libc::prctl(libc::PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) != 0
            || libc::ptrace(libc::PTRACE_TRACEME, 0, 0, 0) != 0
            || libc::prctl(libc::PR_SET_SECCOMP, libc::SECCOMP_MODE_FILTER, &program) != 0
    };
    if failed {
        return Err(io::Error::last_os_error());
    }
    Ok(())
}
