//! Traces a process: carries out the faults of its system calls, answers its reads of the wall clock, and keeps it
//! stopped while a test asks for its suspension.

use super::registers::CallRegisters;
use super::{Call, Outcome, SyscallInjector, CALLS};
use std::os::unix::process::ExitStatusExt;
use std::process::ExitStatus;
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

/// The longest part of a path that is read, in bytes.
const MAX_PATH_BYTES: usize = 4096;

/// The tracer of one process. All its calls are made by the thread that started the process.
pub(super) struct Tracer {
    pid: libc::pid_t,
    injector: SyscallInjector,
}

impl Tracer {
    /// Creates the tracer of a process that stops at `exec`.
    pub(super) fn new(pid: libc::pid_t, injector: SyscallInjector) -> Self {
        Tracer { pid, injector }
    }

    /// Traces the process until it ends.
    pub(super) fn run(&self) {
        // The first stop is the one at `exec`.
        if let Some(status) = self.wait_for_stop() {
            return self.injector.record_exit(status);
        }
        let options = libc::PTRACE_O_TRACESECCOMP | libc::PTRACE_O_EXITKILL;
        // SAFETY: the process is stopped, and traced by this thread.
        unsafe { libc::ptrace(libc::PTRACE_SETOPTIONS, self.pid, 0, options as usize) };
        self.hide_vdso();
        let mut signal = 0;
        loop {
            // SAFETY: as above.
            unsafe { libc::ptrace(libc::PTRACE_CONT, self.pid, 0, signal as usize) };
            let mut status = 0;
            // SAFETY: waits for this process only.
            while unsafe { libc::waitpid(self.pid, &mut status, libc::__WALL) } < 0 {}
            if !libc::WIFSTOPPED(status) {
                return self.injector.record_exit(ExitStatus::from_raw(status));
            }
            signal = match (libc::WSTOPSIG(status), status >> 16) {
                (_, libc::PTRACE_EVENT_SECCOMP) => {
                    self.handle_call();
                    0
                }
                (libc::SIGSTOP, _) => {
                    self.injector.wait_while_suspended();
                    0
                }
                (_, event) if event != 0 => 0,
                (signal, _) => signal,
            };
        }
    }

    /// Waits until the process is stopped. Returns its exit status if it has ended instead, `None` otherwise.
    fn wait_for_stop(&self) -> Option<ExitStatus> {
        let mut status = 0;
        // SAFETY: waits for this process only.
        while unsafe { libc::waitpid(self.pid, &mut status, libc::__WALL) } < 0 {}
        (!libc::WIFSTOPPED(status)).then(|| ExitStatus::from_raw(status))
    }

    fn registers(&self) -> CallRegisters {
        CallRegisters::read(self.pid)
    }

    fn handle_call(&self) {
        let mut registers = self.registers();
        let number = registers.number();
        if number == libc::SYS_clock_gettime {
            return self.answer_clock_read(registers);
        }
        let Some((call, _)) = CALLS.iter().find(|(_, numbers)| numbers.contains(&number)) else {
            return;
        };
        // Removals from an epoll set never fail for lack of memory.
        if *call == Call::EpollAdd && registers.second_argument() == libc::EPOLL_CTL_DEL as u64 {
            return;
        }
        if *call == Call::Open
            && !self
                .read_text(registers.second_argument())
                .ends_with(".json")
        {
            return;
        }
        match self.injector.outcome(*call) {
            None => {}
            Some(Outcome::Fails(errno)) => {
                registers.skip_call(self.pid, -i64::from(errno.raw_os_error()));
            }
            Some(Outcome::Short) => {
                registers.set_third_argument(registers.third_argument().min(1));
                registers.write(self.pid);
            }
            Some(Outcome::Delayed(span)) => thread::sleep(span),
        }
    }

    /// Skips a read of the wall clock and returns the stepped time to the process.
    fn answer_clock_read(&self, mut registers: CallRegisters) {
        let real = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_nanos() as i64;
        let stepped = (real + self.injector.clock_offset_nanos()).max(0);
        let time_address = registers.second_argument();
        self.poke(time_address, (stepped / 1_000_000_000) as u64);
        self.poke(time_address + 8, (stepped % 1_000_000_000) as u64);
        registers.skip_call(self.pid, 0);
    }

    fn peek(&self, address: u64) -> u64 {
        // SAFETY: reads a word of the stopped process; the result is -1 if the address is not mapped.
        unsafe { libc::ptrace(libc::PTRACE_PEEKDATA, self.pid, address, 0) as u64 }
    }

    /// Returns the text at an address of the process, up to its terminating zero or about [`MAX_PATH_BYTES`].
    fn read_text(&self, mut address: u64) -> String {
        let mut bytes = Vec::new();
        while bytes.len() < MAX_PATH_BYTES {
            let word = self.peek(address).to_ne_bytes();
            bytes.extend(word.iter().take_while(|byte| **byte != 0));
            if word.contains(&0) {
                break;
            }
            address += 8;
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }

    fn poke(&self, address: u64, word: u64) {
        // SAFETY: writes a word of the stopped process.
        unsafe { libc::ptrace(libc::PTRACE_POKEDATA, self.pid, address, word) };
    }

    /// Removes the vDSO from the auxiliary vector, which follows the arguments and the environment on the stack of
    /// the process at its start.
    fn hide_vdso(&self) {
        let mut at = self.registers().stack_pointer();
        let arguments = self.peek(at);
        at += 8 * (arguments + 2);
        while self.peek(at) != 0 {
            at += 8;
        }
        at += 8;
        loop {
            match self.peek(at) {
                libc::AT_NULL => return,
                libc::AT_SYSINFO_EHDR => self.poke(at, libc::AT_IGNORE),
                _ => {}
            }
            at += 16;
        }
    }
}
