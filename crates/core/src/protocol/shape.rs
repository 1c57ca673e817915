//! Checks encoded bytes before they are decoded.
//!
//! The decoder reserves memory by the lengths that it reads, and trusts them. A shape says
//! how a value is laid out; [`check`] walks the bytes by it without reserving anything, and
//! refuses a length that what is left of the bytes can't hold, or that is above what the
//! field may have. A format test compares the shapes with every kind of message and file.

use nanoserde::DeBin;
use thiserror::Error;

/// Bytes of a length: the decoder writes every length as a `u64`.
const LENGTH_BYTES: usize = 8;
/// Bytes of the number of an enum's variant.
const VARIANT_BYTES: usize = 2;
/// Items that a list or a map may have (count): several times the leafs, members and
/// entries of the largest deployment that we design for.
const ITEMS_MAX: u64 = 1 << 20;

/// How a value is laid out in bytes.
#[derive(Clone, Copy, Debug)]
pub enum Shape {
    /// A number or a flag of so many bytes.
    Number(usize),
    /// A length, and so many bytes of UTF-8.
    Text,
    /// A length, and so many bytes.
    Bytes,
    /// A flag of a byte, and the value where it is 1.
    Maybe(&'static Shape),
    /// A length, and so many values.
    List(&'static Shape),
    /// Values one after the other.
    Fields(&'static [Shape]),
    /// The number of a variant, and its fields.
    Variants(&'static [&'static [Shape]]),
}

/// Why bytes can't be the encoding of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ShapeError {
    /// A value needs more bytes than are left.
    #[error("{needed} bytes are needed at {offset}, {left} are left")]
    TooShort {
        /// Where the value begins (bytes).
        offset: usize,
        /// What it needs (bytes).
        needed: u64,
        /// What is left (bytes).
        left: usize,
    },
    /// A list has more items than any may have.
    #[error("{items} items at {offset} are more than {ITEMS_MAX}")]
    TooManyItems {
        /// Where the list begins (bytes).
        offset: usize,
        /// Its length (count).
        items: u64,
    },
    /// There is no variant of this number.
    #[error("there is no variant {variant} at {offset}")]
    UnknownVariant {
        /// Where the number stands (bytes).
        offset: usize,
        /// The number.
        variant: u16,
    },
}

/// Why bytes were not decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// They don't have the layout of the value.
    #[error(transparent)]
    Shape(#[from] ShapeError),
    /// They have the layout, and something in them is no such value: text that is not
    /// UTF-8, say.
    #[error("not a value of its type at {offset}")]
    Content {
        /// Where (bytes).
        offset: usize,
    },
}

/// Checks that `bytes` begin with a value of a shape; gives the bytes that it takes.
pub fn check(shape: &Shape, bytes: &[u8]) -> Result<usize, ShapeError> {
    let mut walk = Cursor { bytes, offset: 0 };
    walk.value(shape)?;
    Ok(walk.offset)
}

/// Decodes a value that has this shape. Memory is reserved only for what the bytes hold.
pub fn decode<T: DeBin>(shape: &Shape, bytes: &[u8]) -> Result<T, DecodeError> {
    check(shape, bytes)?;
    T::deserialize_bin(bytes).map_err(|error| DecodeError::Content { offset: error.o })
}

impl Shape {
    /// The fewest bytes that a value takes.
    const fn least_bytes(&self) -> usize {
        match self {
            Shape::Number(bytes) => *bytes,
            Shape::Text | Shape::Bytes | Shape::List(_) => LENGTH_BYTES,
            Shape::Maybe(_) => 1,
            Shape::Variants(_) => VARIANT_BYTES,
            Shape::Fields(fields) => {
                let (mut sum, mut index) = (0, 0);
                while index < fields.len() {
                    sum += fields[index].least_bytes();
                    index += 1;
                }
                sum
            }
        }
    }
}

/// A place in the bytes.
struct Cursor<'a> {
    bytes: &'a [u8],
    offset: usize,
}

impl<'a> Cursor<'a> {
    fn value(&mut self, shape: &Shape) -> Result<(), ShapeError> {
        match shape {
            Shape::Number(bytes) => self.skip(*bytes as u64),
            Shape::Text | Shape::Bytes => {
                let length = self.length()?;
                self.skip(length)
            }
            Shape::Maybe(shape) => match self.take::<1>()? {
                [1] => self.value(shape),
                _ => Ok(()),
            },
            Shape::List(item) => self.list(item),
            Shape::Fields(fields) => self.fields(fields),
            Shape::Variants(variants) => {
                let offset = self.offset;
                let variant = u16::from_le_bytes(self.take()?);
                match variants.get(usize::from(variant)) {
                    Some(fields) => self.fields(fields),
                    None => Err(ShapeError::UnknownVariant { offset, variant }),
                }
            }
        }
    }

    fn fields(&mut self, fields: &[Shape]) -> Result<(), ShapeError> {
        fields.iter().try_for_each(|field| self.value(field))
    }

    /// A list: its items must fit into what is left before any of them is looked at.
    fn list(&mut self, item: &Shape) -> Result<(), ShapeError> {
        let offset = self.offset;
        let items = self.length()?;
        if items > ITEMS_MAX {
            return Err(ShapeError::TooManyItems { offset, items });
        }
        self.require(items * item.least_bytes() as u64)?;
        (0..items).try_for_each(|_| self.value(item))
    }

    fn length(&mut self) -> Result<u64, ShapeError> {
        Ok(u64::from_le_bytes(self.take()?))
    }

    fn require(&self, needed: u64) -> Result<(), ShapeError> {
        let left = self.bytes.len() - self.offset;
        if needed > left as u64 {
            return Err(ShapeError::TooShort { offset: self.offset, needed, left });
        }
        Ok(())
    }

    fn skip(&mut self, count: u64) -> Result<(), ShapeError> {
        self.require(count)?;
        self.offset += count as usize;
        Ok(())
    }

    fn take<const COUNT: usize>(&mut self) -> Result<[u8; COUNT], ShapeError> {
        let taken = self.bytes[self.offset..].first_chunk::<COUNT>().copied();
        self.skip(COUNT as u64)?;
        Ok(taken.unwrap_or([0; COUNT]))
    }
}
