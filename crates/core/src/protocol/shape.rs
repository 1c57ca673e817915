//! Checks encoded bytes before they are decoded.
//!
//! The decoder allocates memory by the lengths that it reads, without validating them. A shape
//! describes the layout of a value. [`check`] walks the bytes along a shape without allocating,
//! and rejects a length that exceeds the remaining bytes or the limit for a list. A format test
//! compares the shapes with every kind of message and file.

use nanoserde::DeBin;
use thiserror::Error;

/// Size of an encoded length (bytes): every length is encoded as a `u64`.
const LENGTH_BYTES: usize = 8;
/// Size of the number of an enum's variant (bytes).
const VARIANT_BYTES: usize = 2;
/// Maximum length of a list or a map (items): several times the leafs, members and entries of
/// the largest deployment that the design supports.
const ITEMS_MAX: u64 = 1 << 20;

/// The layout of an encoded value.
#[derive(Clone, Copy, Debug)]
pub enum Shape {
    /// A number or a flag of this size (bytes).
    Number(usize),
    /// A length, followed by that many bytes of UTF-8.
    Text,
    /// A length, followed by that many bytes.
    Bytes,
    /// A flag of one byte, followed by the value if the flag is 1.
    Maybe(&'static Shape),
    /// A length, followed by that many values.
    List(&'static Shape),
    /// Values in sequence.
    Fields(&'static [Shape]),
    /// The number of a variant, followed by its fields.
    Variants(&'static [&'static [Shape]]),
}

/// Why bytes are not the encoding of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ShapeError {
    /// A value needs more bytes than remain.
    #[error("{needed} bytes are needed at offset {offset}, {left} remain")]
    TooShort {
        /// Offset of the value (bytes).
        offset: usize,
        /// Size that the value needs at least (bytes).
        needed: u64,
        /// Remaining bytes.
        left: usize,
    },
    /// A list has more than `ITEMS_MAX` items.
    #[error("list of {items} items at offset {offset} exceeds the limit of {ITEMS_MAX}")]
    TooManyItems {
        /// Offset of the list (bytes).
        offset: usize,
        /// Length of the list (items).
        items: u64,
    },
    /// The enum has no variant of this number.
    #[error("unknown variant {variant} at offset {offset}")]
    UnknownVariant {
        /// Offset of the number (bytes).
        offset: usize,
        /// The number of the variant.
        variant: u16,
    },
}

/// Why bytes were not decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes don't have the layout of the value.
    #[error(transparent)]
    Shape(#[from] ShapeError),
    /// The bytes have the layout, but contain an invalid value, such as text that is not UTF-8.
    #[error("invalid value at offset {offset}")]
    Content {
        /// Offset of the invalid value (bytes).
        offset: usize,
    },
}

/// Checks that `bytes` begin with a value of this shape. Returns the size of the value (bytes).
pub fn check(shape: &Shape, bytes: &[u8]) -> Result<usize, ShapeError> {
    let mut cursor = Cursor { bytes, offset: 0 };
    cursor.value(shape)?;
    Ok(cursor.offset)
}

/// Decodes a value of this shape. Allocates no more memory than the size of `bytes` justifies.
pub fn decode<T: DeBin>(shape: &Shape, bytes: &[u8]) -> Result<T, DecodeError> {
    check(shape, bytes)?;
    T::deserialize_bin(bytes).map_err(|error| DecodeError::Content { offset: error.o })
}

impl Shape {
    /// Returns the minimum size of a value (bytes).
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

/// A read position in the bytes.
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

    /// Checks a list. The remaining bytes must be able to hold its items before any is checked.
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
