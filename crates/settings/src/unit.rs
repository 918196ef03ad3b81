//! Units of settings, given by the suffix of a key, and suggestions for misspelt keys.

const UNITS: [(&str, &str); 4] =
    [("_ms", "milliseconds"), ("_s", "seconds"), ("_kb", "kilobytes"), ("_percent", "percent")];
/// Largest edit distance between a misspelt key and the key suggested for it.
const MAX_EDITS: usize = 2;

/// The unit of a key's value, by its suffix.
pub fn of(key: &str) -> Option<&'static str> {
    UNITS.iter().find(|(suffix, _)| key.ends_with(suffix)).map(|&(_, unit)| unit)
}

/// The unit as a clause such as ` in milliseconds`, or nothing.
pub fn clause(key: &str) -> String {
    of(key).map(|unit| format!(" in {unit}")).unwrap_or_default()
}

/// The known key that is most similar to `name`, if one is similar enough to suggest.
pub fn nearest<'a>(name: &str, known: &[&'a str]) -> Option<&'a str> {
    let name = without_unit(name);
    if let Some(same) = known.iter().find(|key| without_unit(key) == name) {
        return Some(same);
    }
    known
        .iter()
        .map(|key| (edit_distance(without_unit(key), name), *key))
        .min()
        .filter(|&(distance, _)| distance <= MAX_EDITS)
        .map(|(_, key)| key)
}

/// The key without the suffix of its unit.
fn without_unit(key: &str) -> &str {
    let suffix = UNITS.iter().find(|(suffix, _)| key.ends_with(suffix));
    suffix.map_or(key, |(suffix, _)| &key[..key.len() - suffix.len()])
}

/// Levenshtein distance.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (position, one) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = position + 1;
        for (column, &other) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(one != other);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[right.len()]
}
