//! Stored forms that have grown at their end.

use serde::de::DeserializeOwned;

/// Reads a value that boxes of an earlier version write without its last field; `missing` is the stored form of what
/// stands for that. A value that is whole is read as it is.
pub fn decode_grown<T: DeserializeOwned>(value: &[u8], missing: u8) -> Result<T, postcard::Error> {
    postcard::from_bytes(value).or_else(|_| {
        let mut whole = value.to_vec();
        whole.push(missing);
        postcard::from_bytes(&whole)
    })
}
