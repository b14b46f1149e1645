//! Stored forms that have grown at their end.

use serde::de::DeserializeOwned;

/// Reads a value that boxes of earlier versions write without its last field, or its last fields; `missing` is the
/// stored form of what stands for them, a byte each. A value that is whole is read as it is.
pub fn decode_with_defaults<T: DeserializeOwned>(
    value: &[u8],
    missing: &[u8],
) -> Result<T, postcard::Error> {
    let mut whole = value.to_vec();
    let mut read = postcard::from_bytes(&whole);
    for count in 1..=missing.len() {
        if read.is_ok() {
            break;
        }
        whole.truncate(value.len());
        whole.extend(&missing[missing.len() - count..]);
        read = postcard::from_bytes(&whole);
    }
    read
}
