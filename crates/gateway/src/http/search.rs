//! Search for the end of a head that arrives in pieces.

use super::{Error, Result};

/// Length up to which an incomplete head is parsed again when more of it arrives, in bytes: what is
/// malformed in it is found without its end.
const MAX_REPARSED_BYTES: usize = 1 << 10;
/// Last bytes of a head, with and without carriage returns.
const ENDS_OF_HEAD: [&[u8]; 2] = [b"\n\r\n", b"\n\n"];
/// Bytes of an end that may have arrived before the rest of it.
const OVERLAP_BYTES: usize = 2;

/// What is known of an incomplete head. A long one is not searched or parsed from its front whenever
/// more of it arrives, since that would take time with the square of its length.
#[derive(Debug, Default)]
pub struct Search {
    /// Length of the empty lines before the head.
    start: usize,
    /// Bytes without an end of the head.
    searched: usize,
    /// Length of the first line, with the empty ones before it, once it was wanted.
    first_line: Option<usize>,
}

impl Search {
    /// Whether `buffer`, which begins with the bytes searched before, holds a long head without its end.
    ///
    /// # Errors
    ///
    /// Fails if the head is longer than `limit`, not counting its first line if that `is_request`.
    pub(super) fn is_incomplete(
        &mut self,
        buffer: &[u8],
        limit: usize,
        is_request: bool,
    ) -> Result<bool> {
        if buffer.len() <= MAX_REPARSED_BYTES {
            return Ok(false);
        }
        if buffer.len() < self.searched {
            *self = Self::default();
        }
        let is_empty_line = |it: &&u8| matches!(it, b'\r' | b'\n');
        self.start += buffer[self.start..].iter().take_while(is_empty_line).count();
        let from = self.start.max(self.searched.saturating_sub(OVERLAP_BYTES));
        self.searched = buffer.len();
        let ends_at = |it: usize| ENDS_OF_HEAD.iter().any(|end| buffer[it..].starts_with(end));
        if (from..buffer.len()).any(ends_at) {
            return Ok(false);
        }
        let is_too_large = buffer.len() > limit
            && (!is_request || {
                let first_line = *self.first_line.get_or_insert_with(|| first_line_len(buffer));
                first_line > limit || buffer.len() > first_line + limit
            });
        if is_too_large { Err(Error::HeadTooLarge(limit)) } else { Ok(true) }
    }
}

/// Length of the first line in `buffer`, with empty lines before it; of all if the line is incomplete.
pub(super) fn first_line_len(buffer: &[u8]) -> usize {
    let start = buffer.iter().position(|it| !matches!(it, b'\r' | b'\n')).unwrap_or_default();
    let end = buffer[start..].iter().position(|it| *it == b'\n');
    end.map_or(buffer.len(), |it| start + it + 1)
}
