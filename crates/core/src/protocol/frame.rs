//! Framing of messages between the processes of a cluster.
//!
//! A message is split into frames of bounded size, each with a header: length, protocol version,
//! lane, whether it is the last frame of its message, checksum. Frames of different lanes may
//! interleave, so that a heartbeat never waits behind a complete snapshot; messages on one lane
//! keep their order.

use nanoserde::SerBin;
use thiserror::Error;

use super::message::Message;
use super::message_shapes::MESSAGE;
use super::shape::{DecodeError, decode};

/// Version of the protocol between processes; a connection of a peer with another version is
/// closed.
pub const PROTOCOL_VERSION: u16 = 3;
/// Maximum size of a frame's body (bytes). A heartbeat waits for at most one frame.
pub const FRAME_BYTES_MAX: usize = 64 * 1024;
/// Maximum size of a message (bytes): enough for a configuration of several MiB, with reserve.
pub const MESSAGE_LIMIT_BYTES: usize = 64 * 1024 * 1024;
/// Size of a frame's header (bytes): length u32, version u16, lane u8, last u8, checksum u32, all
/// little-endian.
pub const HEADER_BYTES: usize = 12;
/// Number of lanes of a connection.
const LANES: usize = 2;

/// Why a connection is closed: the received bytes are not a message of this protocol.
#[derive(Debug, PartialEq, Error)]
pub enum FrameError {
    /// The peer was built for another version of the protocol.
    #[error("peer uses protocol version {found}, this process uses {PROTOCOL_VERSION}")]
    Version {
        /// The peer's version.
        found: u16,
    },
    /// The header has an invalid length, lane or last-frame flag.
    #[error("frame header is invalid")]
    Header,
    /// The body does not match the checksum in the header.
    #[error("frame checksum does not match")]
    Checksum,
    /// The frames of a message add up to more than `MESSAGE_LIMIT_BYTES`.
    #[error("message is larger than {MESSAGE_LIMIT_BYTES} bytes")]
    TooLarge,
    /// The frames are valid, but the message in them can't be decoded.
    #[error("message can't be decoded: {0}")]
    Undecodable(#[from] DecodeError),
}

/// A lane of a connection: an ordered sequence of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Messages of one frame.
    Small,
    /// Messages of several frames.
    Large,
}

impl Lane {
    /// Returns the lane for a message of this size.
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

/// The header of a frame.
#[derive(Debug, PartialEq)]
pub struct FrameHeader {
    /// Size of the body (bytes).
    pub length: usize,
    /// The lane of the message.
    pub lane: Lane,
    /// Whether this is the last frame of its message.
    pub is_last: bool,
    /// CRC-32 of the body.
    pub checksum: u32,
}

impl FrameHeader {
    /// Parses a header, and fails if its version, length, lane or last-frame flag is invalid.
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

/// Encodes a message, without framing.
pub fn encode(message: &Message) -> Vec<u8> {
    message.serialize_bin()
}

/// Splits an encoded message into frames.
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

/// Reassembles messages from the frames of a connection.
#[derive(Default)]
pub struct Reassembler {
    /// The bytes received so far of the incomplete message on each lane.
    lanes: [Vec<u8>; LANES],
}

impl Reassembler {
    /// Adds a frame. Returns the message if this was its last frame.
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
