//! The platform's object API: a key-value store with versions, conditional writes and watches.

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use serde::Deserialize;
use serde::Serialize;

use crate::error::PlatformError;

/// Largest value that the platform stores, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// A stored object at one of its versions.
#[derive(Debug, Clone, PartialEq)]
pub struct Object {
    /// Key, unique in the store.
    pub key: String,
    /// Revision of the store at the object's last change, which every change of any object raises.
    pub version: u64,
    /// Content, of at most [`MAX_VALUE_BYTES`] bytes.
    pub value: Bytes,
}

/// Condition under which a write takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCondition {
    /// No object has the key; the write creates it.
    Absent,
    /// The object has this version; the write replaces its value.
    Version(u64),
}

/// One page of a list of objects.
#[derive(Debug, Clone, PartialEq)]
pub struct ListPage {
    /// Revision of the store at which the page was read; watches continue from it.
    pub revision: u64,
    /// Objects in the order of their keys. Values are given only if
    /// [`ListQuery::values`] is set.
    pub objects: Vec<Object>,
    /// Whether objects with the prefix follow after this page.
    pub more: bool,
}

/// One change of an object, as a watch reports it.
#[derive(Debug, Clone, PartialEq)]
pub struct WatchEvent {
    /// The object after the change; its value is empty if it was deleted.
    pub object: Object,
    /// Whether the object was deleted.
    pub deleted: bool,
}

/// The changes that one call of a watch returned.
#[derive(Debug, Clone, PartialEq)]
pub struct WatchBatch {
    /// Revision from which the next call of the watch continues.
    pub revision: u64,
    /// Changes in the order in which they took effect; empty if the wait ended without one.
    pub events: Vec<WatchEvent>,
}

/// Selects the objects of a page of a list.
#[derive(Debug, Clone, Default)]
pub struct ListQuery {
    /// Prefix of the keys to list.
    pub prefix: String,
    /// Key after which the page starts; none for the first page.
    pub after: Option<String>,
    /// Number of objects wanted in the page.
    pub limit: u32,
    /// Whether the objects include their values.
    pub values: bool,
}

/// The calls of the object API. Implementations make each call once, without retries.
pub trait ObjectApi {
    /// Reads an object. Returns none if it does not exist.
    fn read(&self, key: &str) -> LocalBoxFuture<'_, Result<Option<Object>, PlatformError>>;

    /// Writes an object if the condition holds, and returns its new version. Fails with
    /// [`PlatformError::Conflict`] if the condition does not hold.
    fn write(
        &self,
        key: &str,
        value: Bytes,
        condition: WriteCondition,
    ) -> LocalBoxFuture<'_, Result<u64, PlatformError>>;

    /// Deletes an object if it has this version. Succeeds if the object does not exist.
    fn delete(&self, key: &str, version: u64) -> LocalBoxFuture<'_, Result<(), PlatformError>>;

    /// Lists one page of objects.
    fn list(&self, query: ListQuery) -> LocalBoxFuture<'_, Result<ListPage, PlatformError>>;

    /// Waits up to `wait_ms` milliseconds for changes after `revision` of objects with the prefix.
    /// Fails with [`PlatformError::Compacted`] if the platform no longer keeps these changes.
    fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait_ms: u64,
    ) -> LocalBoxFuture<'_, Result<WatchBatch, PlatformError>>;
}

/// An object in the JSON responses to lists and watches.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ObjectDocument {
    /// Key of the object.
    pub key: String,
    /// Version of the object.
    pub version: u64,
    /// Value in base64; empty if the query did not ask for values or the object was deleted.
    #[serde(default)]
    pub value: String,
    /// Whether the change reported by a watch deleted the object.
    #[serde(default)]
    pub deleted: bool,
}

/// The JSON response to a list or a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ObjectsDocument {
    /// Revision of the store from which a watch continues.
    pub revision: u64,
    /// The listed or changed objects.
    pub objects: Vec<ObjectDocument>,
    /// Whether further objects follow after this page of a list.
    #[serde(default)]
    pub more: bool,
}

/// The JSON response to a write or delete.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct VersionDocument {
    /// Revision of the store after the call; a written object's new version.
    pub version: u64,
}
