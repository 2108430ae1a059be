//! The registers of a traced process that is stopped at a system call. What a register means is in one file for each
//! processor architecture.

#[cfg(target_arch = "aarch64")]
mod aarch64;
#[cfg(target_arch = "x86_64")]
mod x86_64;

#[cfg(target_arch = "aarch64")]
pub(super) use aarch64::EPOLL_WAIT_CALLS;
#[cfg(target_arch = "x86_64")]
pub(super) use x86_64::EPOLL_WAIT_CALLS;

/// The general registers of a process that is stopped and traced by this thread.
pub(super) struct CallRegisters(libc::user_regs_struct);

impl CallRegisters {
    /// Reads the registers of the process.
    pub(super) fn read(pid: libc::pid_t) -> CallRegisters {
        // SAFETY: all zeros are valid registers.
        let mut registers = CallRegisters(unsafe { std::mem::zeroed() });
        exchange(
            libc::PTRACE_GETREGSET,
            pid,
            libc::NT_PRSTATUS,
            &mut registers.0,
        );
        registers
    }

    /// Sets the registers of the process to these.
    pub(super) fn write(&mut self, pid: libc::pid_t) {
        exchange(libc::PTRACE_SETREGSET, pid, libc::NT_PRSTATUS, &mut self.0);
    }
}

/// Reads or sets one register set of a process that is stopped and traced by this thread.
fn exchange<T>(
    request: libc::c_uint,
    pid: libc::pid_t,
    register_set: libc::c_int,
    registers: &mut T,
) {
    let mut buffer = libc::iovec {
        iov_base: std::ptr::from_mut(registers).cast(),
        iov_len: size_of::<T>(),
    };
    // SAFETY: the kernel reads or writes at most `iov_len` bytes of `registers`, which outlive the call; every bit
    // pattern of a register set is valid.
    unsafe { libc::ptrace(request, pid, register_set as usize, &raw mut buffer) };
}
