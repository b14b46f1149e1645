//! Decoding of stored values that gained fields at their end in later versions.

use serde::de::DeserializeOwned;

/// Decodes a value that earlier versions write without its last fields.
///
/// `defaults` holds the encoded form of these fields, one byte each. Only the last of them may be missing, so the
/// last one, two and so on of the bytes are appended until the value decodes. A complete value is decoded unchanged.
pub fn decode_with_defaults<T: DeserializeOwned>(
    value: &[u8],
    defaults: &[u8],
) -> Result<T, postcard::Error> {
    let mut padded = value.to_vec();
    let mut decoded = postcard::from_bytes(&padded);
    for count in 1..=defaults.len() {
        if decoded.is_ok() {
            break;
        }
        padded.truncate(value.len());
        padded.extend(&defaults[defaults.len() - count..]);
        decoded = postcard::from_bytes(&padded);
    }
    decoded
}
