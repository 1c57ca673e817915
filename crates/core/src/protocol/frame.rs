//! Messages in pieces. Each piece: length, version, lane, last-mark, checksum.
//! Messages on different lanes may interleave; those of one lane keep order.

use nanoserde::{DeBin, SerBin};
use quick_error::quick_error;

use crate::consts::{MESSAGE_LIMIT, PIECE, WIRE_VERSION};
use crate::protocol::message::Message;

/// Bytes before each piece's body: length u32, version u16, lane u8, last u8,
/// checksum u32.
pub const HEAD: usize = 12;
/// Lanes a connection has: one for small messages, one for large ones.
pub const LANES: usize = 2;

quick_error! {
    /// Why a connection is given up.
    #[derive(Debug, PartialEq)]
    pub enum FrameError {
        Version(got: u16) { display("peer speaks wire version {got}, we speak {}", WIRE_VERSION) }
        Head { display("a piece with an impossible head") }
        Checksum { display("a piece whose checksum does not fit") }
        TooLarge { display("a message larger than {} bytes", MESSAGE_LIMIT) }
        Garbage { display("a message that can't be read") }
    }
}

/// The head of a piece.
#[derive(Debug, PartialEq)]
pub struct Head {
    pub len: usize,
    pub lane: usize,
    pub last: bool,
    pub sum: u32,
}

/// The lane a message of this size takes.
pub fn lane(len: usize) -> usize {
    usize::from(len > PIECE)
}

/// A message's bytes, not yet cut.
pub fn write(message: &Message) -> Vec<u8> {
    message.serialize_bin()
}

/// Cuts a message's bytes into pieces with heads.
pub fn pieces(bytes: &[u8]) -> Vec<Vec<u8>> {
    let lane = lane(bytes.len()) as u8;
    let count = bytes.len().div_ceil(PIECE).max(1);
    (0..count)
        .map(|i| {
            let body = &bytes[i * PIECE..bytes.len().min((i + 1) * PIECE)];
            let mut out = Vec::with_capacity(HEAD + body.len());
            out.extend((body.len() as u32).to_le_bytes());
            out.extend(WIRE_VERSION.to_le_bytes());
            out.push(lane);
            out.push(u8::from(i + 1 == count));
            out.extend(crc32fast::hash(body).to_le_bytes());
            out.extend(body);
            out
        })
        .collect()
}

/// Reads a head; `raw` has `HEAD` bytes.
pub fn head(raw: &[u8; HEAD]) -> Result<Head, FrameError> {
    let len = u32::from_le_bytes([raw[0], raw[1], raw[2], raw[3]]) as usize;
    let ver = u16::from_le_bytes([raw[4], raw[5]]);
    if ver != WIRE_VERSION {
        return Err(FrameError::Version(ver));
    }
    if len > PIECE || usize::from(raw[6]) >= LANES || raw[7] > 1 {
        return Err(FrameError::Head);
    }
    let sum = u32::from_le_bytes([raw[8], raw[9], raw[10], raw[11]]);
    Ok(Head { len, lane: raw[6].into(), last: raw[7] == 1, sum })
}

/// Gathers pieces to messages again.
#[derive(Default)]
pub struct Gather {
    lanes: [Vec<u8>; LANES],
}

/// Takes a piece; gives a message when it was the last of one.
pub fn take(g: &mut Gather, head: &Head, body: &[u8]) -> Result<Option<Message>, FrameError> {
    if crc32fast::hash(body) != head.sum {
        return Err(FrameError::Checksum);
    }
    let lane = &mut g.lanes[head.lane];
    if lane.len() + body.len() > MESSAGE_LIMIT {
        return Err(FrameError::TooLarge);
    }
    lane.extend(body);
    if !head.last {
        return Ok(None);
    }
    let whole = std::mem::take(lane);
    match Message::deserialize_bin(&whole) {
        Ok(message) => Ok(Some(message)),
        Err(_) => Err(FrameError::Garbage),
    }
}
