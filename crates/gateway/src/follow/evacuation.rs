//! Decodes the records that evacuate failure domains.

use crate::{
    gateway::Gateway,
    platform::{Platform, Record},
    registry::{EvacuationRecord, Evacuations},
};

/// Value with which operators evacuate a domain. A record with another value evacuates it as well:
/// the key alone says what the operator wants.
const USUAL_VALUE: &[u8] = b"{}";

/// Decodes a record; returns `None` if its key has another meaning or names no valid domain.
pub(super) fn decode(
    gateway: &Gateway,
    platform: &impl Platform,
    record: &Record,
) -> Option<EvacuationRecord> {
    let domain = platform.evacuation(&record.key)?;
    let (key, bytes) = (ini::excerpt(&record.key), record.key.len());
    if !Evacuations::is_valid_name(&domain) {
        gateway.report_evacuation_finding(&format!("key-invalid key={key:?} bytes={bytes}"));
        return None;
    }
    // A page of newest records may list a deleted key with an empty value.
    let value = record.value.as_deref().filter(|it| !it.is_empty());
    let is_usual =
        |value: &[u8]| value.iter().filter(|it| !it.is_ascii_whitespace()).eq(USUAL_VALUE.iter());
    if value.is_some_and(|it| !is_usual(it)) {
        gateway.report_evacuation_finding(&format!("value-unexpected key={key:?}"));
    }
    Some(EvacuationRecord { offset: record.offset, domain, is_evacuated: value.is_some() })
}
