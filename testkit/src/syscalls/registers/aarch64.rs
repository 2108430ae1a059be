//! arm64: the first argument of a system call and its result share a register, and the number that the kernel goes by
//! is in a register set of its own.

use super::{exchange, CallRegisters};

/// The system calls that wait for events.
pub(in super::super) const EPOLL_WAIT_CALLS: &[libc::c_long] =
    &[libc::SYS_epoll_pwait, libc::SYS_epoll_pwait2];

/// The register set that holds the number of the call (`NT_ARM_SYSTEM_CALL` in `linux/elf.h`).
const SYSTEM_CALL_SET: libc::c_int = 0x404;
/// A number that no system call has: the kernel then makes no call.
const NO_CALL: libc::c_int = -1;

const RESULT: usize = 0;
const SECOND_ARGUMENT: usize = 1;
const THIRD_ARGUMENT: usize = 2;
const NUMBER: usize = 8;

impl CallRegisters {
    /// Returns the number of the call.
    pub(in super::super) fn number(&self) -> libc::c_long {
        self.0.regs[NUMBER] as libc::c_long
    }

    /// Returns the call's second argument.
    pub(in super::super) fn second_argument(&self) -> u64 {
        self.0.regs[SECOND_ARGUMENT]
    }

    /// Returns the call's third argument.
    pub(in super::super) fn third_argument(&self) -> u64 {
        self.0.regs[THIRD_ARGUMENT]
    }

    /// Changes the call's third argument, here only.
    pub(in super::super) fn set_third_argument(&mut self, value: u64) {
        self.0.regs[THIRD_ARGUMENT] = value;
    }

    /// Returns the stack pointer.
    pub(in super::super) fn stack_pointer(&self) -> u64 {
        self.0.sp
    }

    /// Skips the call of the process and makes it return `result`.
    pub(in super::super) fn skip_call(&mut self, pid: libc::pid_t, result: i64) {
        exchange(libc::PTRACE_SETREGSET, pid, SYSTEM_CALL_SET, &mut {
            NO_CALL
        });
        self.0.regs[RESULT] = result as u64;
        self.write(pid);
    }
}
