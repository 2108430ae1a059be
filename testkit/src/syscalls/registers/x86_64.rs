//! x86-64: the number of a system call, its arguments and its result are in registers of their own.

use super::CallRegisters;

/// The system calls that wait for events.
pub(in super::super) const EPOLL_WAIT_CALLS: &[libc::c_long] = &[
    libc::SYS_epoll_wait,
    libc::SYS_epoll_pwait,
    libc::SYS_epoll_pwait2,
];

/// A number that no system call has: the kernel then makes no call.
const NO_CALL: u64 = u64::MAX;

impl CallRegisters {
    /// Returns the number of the call.
    pub(in super::super) fn number(&self) -> libc::c_long {
        self.0.orig_rax as libc::c_long
    }

    /// Returns the call's second argument.
    pub(in super::super) fn second_argument(&self) -> u64 {
        self.0.rsi
    }

    /// Returns the call's third argument.
    pub(in super::super) fn third_argument(&self) -> u64 {
        self.0.rdx
    }

    /// Changes the call's third argument, here only.
    pub(in super::super) fn set_third_argument(&mut self, value: u64) {
        self.0.rdx = value;
    }

    /// Returns the stack pointer.
    pub(in super::super) fn stack_pointer(&self) -> u64 {
        self.0.rsp
    }

    /// Skips the call of the process and makes it return `result`.
    pub(in super::super) fn skip_call(&mut self, pid: libc::pid_t, result: i64) {
        self.0.orig_rax = NO_CALL;
        self.0.rax = result as u64;
        self.write(pid);
    }
}
