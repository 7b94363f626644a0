use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

quick_error! {
    /// Why a message could not be encoded or decoded.
    #[derive(Debug)]
    pub enum Error {
        /// The message could not be encoded.
        Encode(err: rmp_serde::encode::Error) {
            from()
            source(err)
            display("message cannot be encoded: {}", err)
        }
        /// The bytes are not a message of the expected kind.
        Decode(err: rmp_serde::decode::Error) {
            from()
            source(err)
            display("message cannot be decoded: {}", err)
        }
        /// Bytes follow the message.
        Trailing {
            display("bytes follow the message")
        }
    }
}

/// Encodes a message.
///
/// # Errors
///
/// [`Error::Encode`] if a value has no MessagePack form, such as a list of unknown length.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, Error> {
    Ok(rmp_serde::to_vec_named(message)?)
}

/// Encodes a message without field names, for datagrams. The receiver's type must have the same
/// fields in the same order; its last fields may be missing from the message if they have defaults.
///
/// # Errors
///
/// As for [`encode`].
pub fn encode_compact<T: Serialize>(message: &T) -> Result<Vec<u8>, Error> {
    Ok(rmp_serde::to_vec(message)?)
}

/// Decodes a message that consists of all of `bytes`.
///
/// # Errors
///
/// [`Error::Decode`] if `bytes` does not start with a message of type `T`, [`Error::Trailing`] if
/// bytes follow it.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, Error> {
    let mut deserializer = rmp_serde::Deserializer::from_read_ref(bytes);
    let message = T::deserialize(&mut deserializer)?;
    // The deserializer does not expose its position. Decoding another value fails with this error
    // only if no bytes are left, and a unit value needs no more than one byte.
    match <()>::deserialize(&mut deserializer) {
        Err(rmp_serde::decode::Error::InvalidMarkerRead(_)) => Ok(message),
        _ => Err(Error::Trailing),
    }
}
