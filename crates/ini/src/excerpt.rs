//! Safe excerpts of untrusted text for messages.

/// Maximum length of an excerpt, in characters.
const EXCERPT_CHARS: usize = 40;

/// Returns the start of `text` with control characters replaced by `?`.
#[must_use]
pub fn excerpt(text: &str) -> String {
    let mut res: String =
        text.chars().take(EXCERPT_CHARS).map(|it| if it.is_control() { '?' } else { it }).collect();
    if text.chars().nth(EXCERPT_CHARS).is_some() {
        res.push('…');
    }
    res
}
