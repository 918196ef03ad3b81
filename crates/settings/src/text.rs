//! Serializes a field as JSON text in formats that are not self-describing.
//!
//! Settings contain arbitrary JSON values, which postcard and bincode can't deserialize. Use as
//! `#[serde(with = "settings::text")]`.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de, de::DeserializeOwned, ser};

/// Serializes a value as JSON text, or unchanged if the format is human-readable.
///
/// # Errors
///
/// Returns the serializer's error.
pub fn serialize<T: Serialize, S: Serializer>(value: &T, serializer: S) -> Result<S::Ok, S::Error> {
    if serializer.is_human_readable() {
        return value.serialize(serializer);
    }
    let text = serde_json::to_string(value).map_err(ser::Error::custom)?;
    serializer.serialize_str(&text)
}

/// Deserializes a value that [`serialize`] has written.
///
/// # Errors
///
/// Returns the deserializer's error, or the parser's if the JSON text is invalid.
pub fn deserialize<'de, T: DeserializeOwned, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<T, D::Error> {
    if deserializer.is_human_readable() {
        return T::deserialize(deserializer);
    }
    let text = String::deserialize(deserializer)?;
    serde_json::from_str(&text).map_err(de::Error::custom)
}
