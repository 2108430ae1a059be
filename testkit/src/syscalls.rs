//! System calls that fail, fall short or are delayed, and a wall clock that is stepped: the program is started under
//! `ptrace` with a seccomp filter that stops it at the calls of [`Call`], where a test says what becomes of them. Only the
//! traced process is touched, and no rights beyond those of its user are needed.
//!
//! A call that fails is skipped: the kernel never sees it. A call that falls short is made with a smaller length. The
//! program's vDSO is hidden from it at its start, so that its reading of the wall clock is a system call like any other.

use rustix::io::Errno;
use std::io;
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::process::{ChildStderr, Command, ExitStatus};
use std::sync::mpsc::channel;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A kind of system call that can be made faulty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `accept4`
    Accept,
    /// `socket`
    Socket,
    /// `connect`
    Connect,
    /// `epoll_ctl`, but for removals
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
    /// Of a file of settings: none of the loader's.
    Open,
    /// `read`
    Read,
}

const CALLS: [(Call, &[libc::c_long]); 11] = [
    (Call::Accept, &[libc::SYS_accept4]),
    (Call::Socket, &[libc::SYS_socket]),
    (Call::Connect, &[libc::SYS_connect]),
    (Call::EpollAdd, &[libc::SYS_epoll_ctl]),
    (
        Call::EpollWait,
        &[
            libc::SYS_epoll_wait,
            libc::SYS_epoll_pwait,
            libc::SYS_epoll_pwait2,
        ],
    ),
    (Call::Send, &[libc::SYS_sendto]),
    (Call::Receive, &[libc::SYS_recvfrom]),
    (Call::SendMessage, &[libc::SYS_sendmsg]),
    (Call::ReceiveMessage, &[libc::SYS_recvmsg]),
    (Call::Open, &[libc::SYS_openat]),
    (Call::Read, &[libc::SYS_read]),
];

/// How soon a process is suspended.
const MAX_SUSPEND_TIME: Duration = Duration::from_secs(10);
/// How much of a path is read.
const MAX_PATH_BYTES: usize = 4096;

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It fails with this error.
    Fails(Errno),
    /// It moves one byte.
    Short,
    /// It is made so much later.
    Delayed(Duration),
}

/// One of so many calls of a kind has this outcome.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Which calls.
    pub call: Call,
    /// What becomes of them.
    pub outcome: Outcome,
    /// One of so many.
    pub every: u64,
}

#[derive(Default)]
struct State {
    faults: Vec<CountedFault>,
    faulty_calls: u64,
    /// How far the wall clock is off.
    clock_offset_nanos: i64,
    /// Whether the process is to be suspended.
    suspend_requested: bool,
    /// Whether it is.
    suspended: bool,
    exited: Option<ExitStatus>,
}

/// A fault, and how many calls of its kind there were.
struct CountedFault {
    fault: Fault,
    calls: u64,
}

/// How a test controls a traced process: which of its system calls are faulty, and its wall clock.
#[derive(Clone, Default)]
pub struct SyscallInjector(Arc<(Mutex<State>, Condvar)>);

impl SyscallInjector {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0 .0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// From now on these faults happen, and no others.
    pub fn set(&self, faults: &[Fault]) {
        let counted = |fault: &Fault| CountedFault {
            fault: *fault,
            calls: 0,
        };
        self.state().faults = faults.iter().map(counted).collect();
    }

    /// From now on none happen.
    pub fn clear(&self) {
        self.set(&[]);
    }

    /// How many calls were made faulty so far.
    pub fn injected(&self) -> u64 {
        self.state().faulty_calls
    }

    /// Steps the wall clock of the process's machine.
    pub fn step_clock(&self, seconds: i64) {
        self.state().clock_offset_nanos += seconds * 1_000_000_000;
    }

    /// Suspends the process at its next system call, or continues it.
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

    /// Keeps the process stopped while it is to be suspended.
    fn wait_while_suspended(&self) {
        let (_, changed) = &*self.0;
        let suspend_requested = |state: &mut State| {
            state.suspended = state.suspend_requested;
            changed.notify_all();
            state.suspend_requested
        };
        drop(changed.wait_while(self.state(), suspend_requested));
    }

    /// Waits until the process is suspended, or has ended.
    fn wait_until_suspended(&self) {
        let (_, changed) = &*self.0;
        let runs = |state: &mut State| !state.suspended && state.exited.is_none();
        let waited = changed.wait_timeout_while(self.state(), MAX_SUSPEND_TIME, runs);
        let (_state, timeout) = waited.unwrap_or_else(PoisonError::into_inner);
        assert!(!timeout.timed_out(), "the process does not stand still");
    }
}

/// A process of the program whose system calls a [`SyscallInjector`] governs.
pub struct TracedProcess {
    pid: libc::pid_t,
    injector: SyscallInjector,
}

impl TracedProcess {
    /// Starts the program. Its standard error has to be piped.
    ///
    /// # Errors
    /// What kept the process from being started or traced.
    pub fn start(
        mut command: Command,
        injector: &SyscallInjector,
    ) -> io::Result<(TracedProcess, ChildStderr)> {
        let (sender, started) = channel();
        let tracer_injector = injector.clone();
        thread::spawn(move || {
            let filter = seccomp_filter();
            // SAFETY: only calls that are safe after a fork, on memory that was allocated before.
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
        let (pid, stderr) = started.recv().expect("the tracer ended")?;
        Ok((
            TracedProcess {
                pid,
                injector: injector.clone(),
            },
            stderr,
        ))
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.pid as u32
    }

    /// Waits for its end.
    pub fn wait(&self) -> ExitStatus {
        let (_, changed) = &*self.injector.0;
        let state = changed.wait_while(self.injector.state(), |state| state.exited.is_none());
        state
            .unwrap_or_else(PoisonError::into_inner)
            .exited
            .expect("it has exited")
    }

    /// Whether it is still running.
    pub fn runs(&self) -> bool {
        self.injector.state().exited.is_none()
    }

    /// Sends SIGKILL.
    pub fn kill(&self) {
        self.injector.request_suspend(false);
        if self.runs() {
            // SAFETY: a signal to a child that has not been waited for.
            unsafe { libc::kill(self.pid, libc::SIGKILL) };
        }
    }

    /// Suspends it. Returns once it is suspended.
    pub fn suspend(&self) {
        self.injector.request_suspend(true);
        // SAFETY: as above. The tracer keeps it stopped where the signal meets it.
        unsafe { libc::kill(self.pid, libc::SIGSTOP) };
        self.injector.wait_until_suspended();
    }

    /// Ends [`TracedProcess::suspend`].
    pub fn unsuspend(&self) {
        self.injector.request_suspend(false);
    }
}

/// Lets the parent trace this process, and stops it at the calls of the filter.
fn trace_me(filter: &[libc::sock_filter]) -> io::Result<()> {
    let program = libc::sock_fprog {
        len: filter.len() as u16,
        filter: filter.as_ptr().cast_mut(),
    };
    // SAFETY: plain system calls on values that live here.
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

/// Stops at the calls of [`CALLS`], and where the wall clock is read.
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
        // The first stop is that of its start.
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
            // SAFETY: waits for this one process.
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

    /// Waits until it is stopped; returns its status where it has ended instead.
    fn wait_for_stop(&self) -> Option<ExitStatus> {
        let mut status = 0;
        // SAFETY: waits for this one process.
        while unsafe { libc::waitpid(self.pid, &mut status, libc::__WALL) } < 0 {}
        (!libc::WIFSTOPPED(status)).then(|| ExitStatus::from_raw(status))
    }

    fn record_exit(&self, status: ExitStatus) {
        self.injector.state().exited = Some(status);
        self.injector.0 .1.notify_all();
    }

    fn registers(&self) -> libc::user_regs_struct {
        // SAFETY: all zeros are registers; the process is stopped, and traced by this thread.
        unsafe {
            let mut registers: libc::user_regs_struct = std::mem::zeroed();
            libc::ptrace(libc::PTRACE_GETREGS, self.pid, 0, &mut registers);
            registers
        }
    }

    fn set_registers(&self, registers: &libc::user_regs_struct) {
        // SAFETY: as above.
        unsafe { libc::ptrace(libc::PTRACE_SETREGS, self.pid, 0, registers) };
    }

    /// Skips the call, which then returns this.
    fn skip(&self, mut registers: libc::user_regs_struct, result: i64) {
        (registers.orig_rax, registers.rax) = (u64::MAX, result as u64);
        self.set_registers(&registers);
    }

    fn handle_call(&self) {
        let mut registers = self.registers();
        let number = registers.orig_rax as libc::c_long;
        if number == libc::SYS_clock_gettime {
            return self.answer_clock_read(registers);
        }
        let Some((call, _)) = CALLS.iter().find(|(_, numbers)| numbers.contains(&number)) else {
            return;
        };
        // Removals from an epoll set never fail for want of memory.
        if *call == Call::EpollAdd && registers.rsi == libc::EPOLL_CTL_DEL as u64 {
            return;
        }
        if *call == Call::Open && !self.read_text(registers.rsi).ends_with(".json") {
            return;
        }
        match self.injector.outcome(*call) {
            None => {}
            Some(Outcome::Fails(errno)) => self.skip(registers, -i64::from(errno.raw_os_error())),
            Some(Outcome::Short) => {
                registers.rdx = registers.rdx.min(1);
                self.set_registers(&registers);
            }
            Some(Outcome::Delayed(span)) => thread::sleep(span),
        }
    }

    /// Answers a read of the wall clock with the stepped time.
    fn answer_clock_read(&self, registers: libc::user_regs_struct) {
        let real = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_nanos() as i64;
        let stepped = (real + self.injector.state().clock_offset_nanos).max(0);
        self.poke(registers.rsi, (stepped / 1_000_000_000) as u64);
        self.poke(registers.rsi + 8, (stepped % 1_000_000_000) as u64);
        self.skip(registers, 0);
    }

    fn peek(&self, address: u64) -> u64 {
        // SAFETY: reads a word of the stopped process; where there is none this gives -1.
        unsafe { libc::ptrace(libc::PTRACE_PEEKDATA, self.pid, address, 0) as u64 }
    }

    /// The text at this address, up to its terminating zero.
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

    /// Takes the vDSO out of what the kernel tells the process at its start: behind the arguments and the environment on
    /// its stack.
    fn hide_vdso(&self) {
        let mut at = self.registers().rsp;
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
