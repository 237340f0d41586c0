//! Bytes of a body, counted as they grow.

use bytes::Bytes;
use memmap2::{Advice, MmapMut, MmapOptions};

use super::Charge;

/// Size up to which a body is in the heap, in bytes. Larger ones have pages of their own: those go
/// back to the operating system when the body is dropped, and need no copy when the body grows.
const MAX_HEAP_BYTES: usize = 32 << 10;
/// Pages are counted in units of this many bytes, the largest page size of arm64.
const PAGE_BYTES: usize = 64 << 10;

/// The operating system gives no more memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the operating system gives no more memory")]
pub struct Exhausted;

#[derive(Debug)]
enum Store {
    Heap(Vec<u8>),
    /// Address space for the largest size. Only the pages written to are resident.
    Pages {
        map: MmapMut,
        len: usize,
    },
}

/// Bytes of a body, counted as they grow and until the last reference to them is dropped.
#[derive(Debug)]
pub struct Buffer {
    store: Store,
    max_bytes: usize,
    charge: Charge,
}

impl Buffer {
    /// Creates an empty buffer that grows to at most `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: usize, charge: Charge) -> Self {
        Self { store: Store::Heap(Vec::new()), max_bytes, charge }
    }

    /// Appends `bytes`.
    ///
    /// # Errors
    ///
    /// Fails if the operating system gives no more memory, or the buffer would exceed its maximum.
    pub fn extend(&mut self, bytes: &[u8]) -> Result<(), Exhausted> {
        let total = self.len() + bytes.len();
        if total > self.max_bytes {
            return Err(Exhausted);
        }
        if let Store::Heap(it) = &self.store
            && total > MAX_HEAP_BYTES
        {
            self.store = pages(self.max_bytes, it)?;
        }
        match &mut self.store {
            Store::Heap(it) => {
                it.extend_from_slice(bytes);
                self.charge.resize(it.capacity());
            }
            Store::Pages { map, len } => {
                map[*len..total].copy_from_slice(bytes);
                *len = total;
                self.charge.resize(total.next_multiple_of(PAGE_BYTES));
            }
        }
        Ok(())
    }

    /// Number of bytes in the buffer.
    #[must_use]
    pub fn len(&self) -> usize {
        match &self.store {
            Store::Heap(it) => it.len(),
            Store::Pages { len, .. } => *len,
        }
    }

    /// Whether the buffer is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes of memory in use.
    #[must_use]
    pub fn held(&self) -> usize {
        self.charge.bytes()
    }

    /// The bytes, without a copy.
    #[must_use]
    pub fn freeze(self) -> Bytes {
        if self.is_empty() { Bytes::new() } else { Bytes::from_owner(self) }
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        match &self.store {
            Store::Heap(it) => it,
            Store::Pages { map, len } => &map[..*len],
        }
    }
}

fn pages(max_bytes: usize, bytes: &[u8]) -> Result<Store, Exhausted> {
    let mapped = MmapOptions::new().len(max_bytes).no_reserve_swap().map_anon();
    let mut map = mapped.map_err(|_e| Exhausted)?;
    // A large page would be resident as a whole from its first byte. Kernels without large pages
    // reject the advice.
    let _rejected = map.advise(Advice::NoHugePage);
    map[..bytes.len()].copy_from_slice(bytes);
    Ok(Store::Pages { map, len: bytes.len() })
}
