//! The seccomp filter that stops a process at the calls into which faults can be injected.

use super::CALLS;

/// Returns a seccomp filter that stops the process at the calls of [`CALLS`] and at reads of the wall clock.
pub(super) fn seccomp_filter() -> Vec<libc::sock_filter> {
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
