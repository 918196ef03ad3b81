//! Loopback networks of fleets: no two fleets share addresses, also not those of test processes side by side.

use std::{
    net::{Ipv4Addr, TcpListener},
    sync::{Mutex, PoisonError},
};

/// Number of fleets with the same second octet. Each has the third octets `n`, `n + FLEETS` and so on up to 255.
pub const FLEETS: u8 = 50;
/// The highest second octet of a fleet; the lowest is 1.
const LAST_OCTET: u8 = 99;
/// A port that no daemon listens on.
const RESERVATION_PORT: u16 = 7_379;

/// The networks of one second octet.
struct Block {
    octet: u8,
    taken: u8,
    /// Keeps other processes from taking the block.
    _reservation: TcpListener,
}

/// Blocks of this process; kept until it ends, as connections of earlier fleets may still be open.
static BLOCKS: Mutex<Vec<Block>> = Mutex::new(Vec::new());

/// The first three octets of addresses that no other fleet on this machine has.
///
/// # Panics
///
/// Panics when all blocks are reserved.
pub fn take() -> [u8; 3] {
    let mut blocks = BLOCKS.lock().unwrap_or_else(PoisonError::into_inner);
    if blocks.last().is_none_or(|block| block.taken == FLEETS - 1) {
        blocks.push(reserve());
    }
    let block = blocks.last_mut().unwrap();
    block.taken += 1;
    [127, block.octet, block.taken]
}

fn reserve() -> Block {
    let reserve_octet = |octet| {
        let address = (Ipv4Addr::new(127, octet, 0, 1), RESERVATION_PORT);
        let reservation = TcpListener::bind(address).ok()?;
        Some(Block { octet, taken: 0, _reservation: reservation })
    };
    (1..=LAST_OCTET).find_map(reserve_octet).expect("a block of loopback addresses is free")
}
