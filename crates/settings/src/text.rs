//! Writes a field as JSON text inside formats that do not describe themselves.
//!
//! Settings hold free JSON values, which postcard and bincode can't read back. Use it as
//! `#[serde(with = "settings::text")]`.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de, de::DeserializeOwned, ser};

/// Writes a value as JSON text, or as it is where the format is human-readable.
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

/// Reads what [`serialize`] wrote.
///
/// # Errors
///
/// Returns the deserializer's error, or that of the JSON text.
pub fn deserialize<'de, T: DeserializeOwned, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<T, D::Error> {
    if deserializer.is_human_readable() {
        return T::deserialize(deserializer);
    }
    let text = String::deserialize(deserializer)?;
    serde_json::from_str(&text).map_err(de::Error::custom)
}
