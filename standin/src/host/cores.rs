//! Cores that threads run on.

/// Keeps this thread and those that it starts on one core, where they interrupt one another most.
///
/// # Panics
///
/// Panics if the kernel refuses.
pub fn use_one_core() {
    // SAFETY: a set of cores is an array of integers; the calls read and write this one alone.
    let result = unsafe {
        let mut cores: libc::cpu_set_t = std::mem::zeroed();
        libc::CPU_SET(usize::try_from(libc::sched_getcpu()).unwrap_or(0), &mut cores);
        libc::sched_setaffinity(0, size_of_val(&cores), &cores)
    };
    assert_eq!(result, 0, "the core cannot be set");
}
