//! Framing of messages between our processes.
//!
//! A message is cut into pieces of bounded size, each with a header: length,
//! version, lane, whether it is the last of its message, checksum. Messages on
//! different lanes may interleave, so that a heartbeat never waits behind a whole
//! snapshot; messages of one lane keep their order.

use nanoserde::SerBin;
use thiserror::Error;

use super::message::Message;
use super::message_shapes::MESSAGE;
use super::shape::{DecodeError, decode};

/// Version of the protocol between our processes; a peer with another is rejected.
pub const PROTOCOL_VERSION: u16 = 3;
/// Most bytes of a piece's body: a heartbeat waits behind one of them at most.
pub const FRAME_BYTES_MAX: usize = 64 * 1024;
/// Most bytes of a whole message: a configuration of several MiB, with reserve.
pub const MESSAGE_LIMIT_BYTES: usize = 64 * 1024 * 1024;
/// Bytes of a piece's header: length u32, version u16, lane u8, last u8, checksum
/// u32, all little-endian.
pub const HEADER_BYTES: usize = 12;
/// Lanes of a connection (count).
const LANES: usize = 2;

/// Why a connection is given up: what came on it is no message of this protocol.
#[derive(Debug, PartialEq, Error)]
pub enum FrameError {
    /// The peer was built for another version of the protocol.
    #[error("peer speaks wire version {found}, we speak {PROTOCOL_VERSION}")]
    Version {
        /// The peer's version.
        found: u16,
    },
    /// A length, lane or last mark that no header has.
    #[error("a piece with an impossible head")]
    Header,
    /// The body is not the one that the header was written for.
    #[error("a piece whose checksum does not fit")]
    Checksum,
    /// The pieces of a message come to more than `MESSAGE_LIMIT_BYTES`.
    #[error("a message larger than {MESSAGE_LIMIT_BYTES} bytes")]
    TooLarge,
    /// The pieces fit, but what they make up can't be decoded.
    #[error("a message that can't be read: {0}")]
    Undecodable(#[from] DecodeError),
}

/// One of the two lanes of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Messages of one piece.
    Small,
    /// Messages of several pieces.
    Large,
}

impl Lane {
    /// The lane that a message of so many bytes takes.
    pub fn for_length(bytes: usize) -> Lane {
        if bytes > FRAME_BYTES_MAX { Lane::Large } else { Lane::Small }
    }

    fn as_byte(self) -> u8 {
        match self {
            Lane::Small => 0,
            Lane::Large => 1,
        }
    }

    fn from_byte(byte: u8) -> Option<Lane> {
        match byte {
            0 => Some(Lane::Small),
            1 => Some(Lane::Large),
            _ => None,
        }
    }
}

/// The header of a piece.
#[derive(Debug, PartialEq)]
pub struct FrameHeader {
    /// Bytes of the body.
    pub length: usize,
    /// The lane of the message.
    pub lane: Lane,
    /// Whether this is the last piece of its message.
    pub is_last: bool,
    /// CRC-32 of the body.
    pub checksum: u32,
}

impl FrameHeader {
    /// Reads a header.
    pub fn parse(raw: &[u8; HEADER_BYTES]) -> Result<FrameHeader, FrameError> {
        let length = u32::from_le_bytes([raw[0], raw[1], raw[2], raw[3]]) as usize;
        let version = u16::from_le_bytes([raw[4], raw[5]]);
        if version != PROTOCOL_VERSION {
            return Err(FrameError::Version { found: version });
        }
        let lane = Lane::from_byte(raw[6]).ok_or(FrameError::Header)?;
        if length > FRAME_BYTES_MAX || raw[7] > 1 {
            return Err(FrameError::Header);
        }
        let checksum = u32::from_le_bytes([raw[8], raw[9], raw[10], raw[11]]);
        Ok(FrameHeader { length, lane, is_last: raw[7] == 1, checksum })
    }
}

/// The bytes of a message, not yet cut into pieces.
pub fn encode(message: &Message) -> Vec<u8> {
    message.serialize_bin()
}

/// Cuts the bytes of a message into pieces with headers.
pub fn split(bytes: &[u8]) -> Vec<Vec<u8>> {
    let lane = Lane::for_length(bytes.len());
    if bytes.is_empty() {
        return vec![frame(lane, true, bytes)];
    }
    let count = bytes.len().div_ceil(FRAME_BYTES_MAX);
    let bodies = bytes.chunks(FRAME_BYTES_MAX).enumerate();
    bodies.map(|(index, body)| frame(lane, index + 1 == count, body)).collect()
}

fn frame(lane: Lane, is_last: bool, body: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend((body.len() as u32).to_le_bytes());
    frame.extend(PROTOCOL_VERSION.to_le_bytes());
    frame.push(lane.as_byte());
    frame.push(u8::from(is_last));
    frame.extend(crc32fast::hash(body).to_le_bytes());
    frame.extend(body);
    frame
}

/// Puts the pieces of a connection together to messages again.
#[derive(Default)]
pub struct Reassembler {
    /// What has come of the message under way on each lane.
    lanes: [Vec<u8>; LANES],
}

impl Reassembler {
    /// Takes in a piece; gives the message that it was the last piece of.
    pub fn push(
        &mut self,
        header: &FrameHeader,
        body: &[u8],
    ) -> Result<Option<Message>, FrameError> {
        if crc32fast::hash(body) != header.checksum {
            return Err(FrameError::Checksum);
        }
        let pending = &mut self.lanes[usize::from(header.lane.as_byte())];
        if pending.len() + body.len() > MESSAGE_LIMIT_BYTES {
            return Err(FrameError::TooLarge);
        }
        pending.extend(body);
        if !header.is_last {
            return Ok(None);
        }
        let bytes = std::mem::take(pending);
        Ok(Some(decode(&MESSAGE, &bytes)?))
    }
}
