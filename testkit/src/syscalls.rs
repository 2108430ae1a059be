//! Injects faults into a process: system calls that fail, transfer less than asked for or are delayed, and steps of
//! the wall clock. The program is started under `ptrace` with a seccomp filter that stops it at the calls of
//! [`Call`], whose outcome a test sets. Only the traced process is affected, and no privileges beyond those of its
//! user are needed.
//!
//! A call that is to fail is skipped, so that the kernel never sees it. A short call is made with a smaller length.
//! The vDSO is hidden from the program at its start, so that it reads the wall clock by a system call.
//!
//! What differs between processor architectures is in `registers`.

mod registers;

use registers::{CallRegisters, EPOLL_WAIT_CALLS};
use rustix::io::Errno;
use std::io;
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::process::{ChildStderr, Command, ExitStatus};
use std::sync::mpsc::channel;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A kind of system call into which faults can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `accept4`
    Accept,
    /// `socket`
    Socket,
    /// `connect`
    Connect,
    /// `epoll_ctl`, except removals
    EpollAdd,
    /// `epoll_wait` and its variants
    EpollWait,
    /// `sendto`
    Send,
    /// `recvfrom`
    Receive,
    /// `sendmsg`
    SendMessage,
    /// `recvmsg`
    ReceiveMessage,
    /// `openat` of a `.json` config file. Other files are never affected, such as the libraries that the loader
    /// opens.
    Open,
    /// `read`
    Read,
}

const CALLS: [(Call, &[libc::c_long]); 11] = [
    (Call::Accept, &[libc::SYS_accept4]),
    (Call::Socket, &[libc::SYS_socket]),
    (Call::Connect, &[libc::SYS_connect]),
    (Call::EpollAdd, &[libc::SYS_epoll_ctl]),
    (Call::EpollWait, EPOLL_WAIT_CALLS),
    (Call::Send, &[libc::SYS_sendto]),
    (Call::Receive, &[libc::SYS_recvfrom]),
    (Call::SendMessage, &[libc::SYS_sendmsg]),
    (Call::ReceiveMessage, &[libc::SYS_recvmsg]),
    (Call::Open, &[libc::SYS_openat]),
    (Call::Read, &[libc::SYS_read]),
];

/// How long a process may take to be suspended.
const MAX_SUSPEND_TIME: Duration = Duration::from_secs(10);
/// The longest part of a path that is read, in bytes.
const MAX_PATH_BYTES: usize = 4096;

/// What a fault does to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The call fails with this error.
    Fails(Errno),
    /// The call transfers at most one byte.
    Short,
    /// The call is delayed by this time.
    Delayed(Duration),
}

/// A fault of every n-th call of a kind.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// The kind of the calls.
    pub call: Call,
    /// What the fault does to an affected call.
    pub outcome: Outcome,
    /// The fault affects every call whose number is a multiple of this; 0 counts as 1.
    pub every: u64,
}

#[derive(Default)]
struct State {
    faults: Vec<CountedFault>,
    faulty_calls: u64,
    /// How far the process's wall clock is ahead of the real one, in nanoseconds.
    clock_offset_nanos: i64,
    /// Whether a test has asked to suspend the process.
    suspend_requested: bool,
    /// Whether the process is suspended.
    suspended: bool,
    exited: Option<ExitStatus>,
}

/// A fault, and how many calls of its kind there were since it was set.
struct CountedFault {
    fault: Fault,
    calls: u64,
}

/// Controls a traced process from a test: the faults of its system calls, its wall clock and its suspension. Clones
/// control the same process.
#[derive(Clone, Default)]
pub struct SyscallInjector(Arc<(Mutex<State>, Condvar)>);

impl SyscallInjector {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0 .0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// From now on injects these faults and no others.
    pub fn set(&self, faults: &[Fault]) {
        let counted = |fault: &Fault| CountedFault {
            fault: *fault,
            calls: 0,
        };
        self.state().faults = faults.iter().map(counted).collect();
    }

    /// From now on injects no faults.
    pub fn clear(&self) {
        self.set(&[]);
    }

    /// Returns the number of calls that faults have affected so far.
    pub fn injected(&self) -> u64 {
        self.state().faulty_calls
    }

    /// Steps the wall clock that the process reads. Steps add up.
    pub fn step_clock(&self, seconds: i64) {
        self.state().clock_offset_nanos += seconds * 1_000_000_000;
    }

    /// Requests that the process stays stopped when SIGSTOP next stops it, or resumes it.
    fn request_suspend(&self, suspend_requested: bool) {
        let mut state = self.state();
        state.suspend_requested = suspend_requested;
        state.suspended &= suspend_requested;
        drop(state);
        self.0 .1.notify_all();
    }

    fn outcome(&self, call: Call) -> Option<Outcome> {
        let mut state = self.state();
        let mut outcome = None;
        let of_kind = |counted: &&mut CountedFault| counted.fault.call == call;
        for counted in state.faults.iter_mut().filter(of_kind) {
            counted.calls += 1;
            if counted.calls.is_multiple_of(counted.fault.every.max(1)) {
                outcome = outcome.or(Some(counted.fault.outcome));
            }
        }
        state.faulty_calls += u64::from(outcome.is_some());
        outcome
    }

    /// Keeps the process stopped while a test asks for its suspension.
    fn wait_while_suspended(&self) {
        let (_, changed) = &*self.0;
        let suspend_requested = |state: &mut State| {
            state.suspended = state.suspend_requested;
            changed.notify_all();
            state.suspend_requested
        };
        drop(changed.wait_while(self.state(), suspend_requested));
    }

    /// Waits until the process is suspended or has ended.
    fn wait_until_suspended(&self) {
        let (_, changed) = &*self.0;
        let runs = |state: &mut State| !state.suspended && state.exited.is_none();
        let waited = changed.wait_timeout_while(self.state(), MAX_SUSPEND_TIME, runs);
        let (_state, timeout) = waited.unwrap_or_else(PoisonError::into_inner);
        assert!(
            !timeout.timed_out(),
            "the process was not suspended in time"
        );
    }
}

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
            match command.spawn() {
                Ok(mut child) => {
                    let pid = child.id() as libc::pid_t;
                    let stderr = child.stderr.take().expect("standard error is not piped");
                    _ = sender.send(Ok((pid, stderr)));
                    Tracer {
                        pid,
                        injector: tracer_injector,
                    }
                    .run();
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
        let (_, changed) = &*self.injector.0;
        let state = changed.wait_while(self.injector.state(), |state| state.exited.is_none());
        state
            .unwrap_or_else(PoisonError::into_inner)
            .exited
            .expect("the wait ended without an exit status")
    }

    /// Returns whether the process is still running.
    pub fn runs(&self) -> bool {
        self.injector.state().exited.is_none()
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

/// Returns a seccomp filter that stops the process at the calls of [`CALLS`] and at reads of the wall clock.
fn seccomp_filter() -> Vec<libc::sock_filter> {
    const NUMBER: u32 = 0;
    const FIRST_ARGUMENT: u32 = 16;
    let instruction = |code: u32, jt: u8, jf: u8, k: u32| libc::sock_filter {
        code: code as u16,
        jt,
        jf,
        k,
    };
    let load = |at| instruction(libc::BPF_LD | libc::BPF_W | libc::BPF_ABS, 0, 0, at);
    let equals =
        |value, jt, jf| instruction(libc::BPF_JMP | libc::BPF_JEQ | libc::BPF_K, jt, jf, value);
    let returns = |value| instruction(libc::BPF_RET | libc::BPF_K, 0, 0, value);
    let mut instructions = vec![load(NUMBER)];
    for number in CALLS.iter().flat_map(|(_, numbers)| numbers.iter()) {
        instructions.extend([
            equals(*number as u32, 0, 1),
            returns(libc::SECCOMP_RET_TRACE),
        ]);
    }
    instructions.extend([
        equals(libc::SYS_clock_gettime as u32, 0, 3),
        load(FIRST_ARGUMENT),
        equals(libc::CLOCK_REALTIME as u32, 0, 1),
        returns(libc::SECCOMP_RET_TRACE),
        returns(libc::SECCOMP_RET_ALLOW),
    ]);
    instructions
}

struct Tracer {
    pid: libc::pid_t,
    injector: SyscallInjector,
}

impl Tracer {
    fn run(&self) {
        // The first stop is the one at `exec`.
        if let Some(status) = self.wait_for_stop() {
            return self.record_exit(status);
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
                return self.record_exit(ExitStatus::from_raw(status));
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

    fn record_exit(&self, status: ExitStatus) {
        self.injector.state().exited = Some(status);
        self.injector.0 .1.notify_all();
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
        let stepped = (real + self.injector.state().clock_offset_nanos).max(0);
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
