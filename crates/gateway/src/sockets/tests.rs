use super::*;

const MB: u64 = 1024 * 1024;

/// Guards against backlogs that take what requests need, on hosts of any size.
#[test]
fn connections_that_are_not_accepted_hold_a_small_part_of_the_memory() {
    for memory_mb in [64, 88, 110, 260, 1024, 4096] {
        let limits = SocketLimits::new(memory_mb * MB);
        assert!(limits.unaccepted_bytes_max() as u64 <= memory_mb * MB / 8, "of {memory_mb} MB");
    }
}
