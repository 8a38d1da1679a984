//! The stored objects with their versions and the history of their changes.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde_json::{json, Value};

/// `apiVersion` of the objects: API group and version.
pub(super) const API_VERSION: &str = "flamingofall.io/v1";
/// Number of changes that are kept for watches, stale reads and restores.
const MAX_HISTORY_EVENTS: usize = 10_000;

/// Type of the stored objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Resource {
    /// `domains`: member records of a failure domain.
    Domains,
    /// `configs`: operators' configurations by digest.
    Configs,
    /// `heads`: which of the configurations is in force.
    Heads,
}

impl Resource {
    /// Parses the name of a resource type in a URL path.
    pub(super) fn from_path(name: &str) -> Option<Self> {
        match name {
            "domains" => Some(Self::Domains),
            "configs" => Some(Self::Configs),
            "heads" => Some(Self::Heads),
            _ => None,
        }
    }

    /// Name of the resource type in URL paths.
    pub fn path(self) -> &'static str {
        match self {
            Self::Domains => "domains",
            Self::Configs => "configs",
            Self::Heads => "heads",
        }
    }

    /// Value of `kind` in the objects of this type.
    pub fn kind(self) -> &'static str {
        match self {
            Self::Domains => "Domain",
            Self::Configs => "Config",
            Self::Heads => "Head",
        }
    }
}

/// Resource type and name of an object.
pub(super) type Key = (Resource, String);
pub(super) type ObjectMap = BTreeMap<Key, Arc<Value>>;

/// Change of one object.
#[derive(Clone, Debug)]
pub(super) struct Event {
    pub(super) version: u64,
    pub(super) key: Key,
    /// `None` if the object was created.
    pub(super) before: Option<Arc<Value>>,
    /// `None` if the object was deleted.
    pub(super) after: Option<Arc<Value>>,
}

impl Event {
    /// Converts the change to the JSON event that a watch sends. A deletion carries the last state
    /// of the object with the version of the deletion.
    pub(super) fn to_watch_event(&self) -> Value {
        match (&self.before, &self.after) {
            (None, Some(object)) => json!({"type": "ADDED", "object": **object}),
            (Some(_), Some(object)) => json!({"type": "MODIFIED", "object": **object}),
            (before, None) => {
                let mut object = before.as_deref().cloned().unwrap_or_default();
                set_version(&mut object, self.version);
                json!({"type": "DELETED", "object": object})
            }
        }
    }
}

/// Error that a call is answered with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ApiError {
    /// HTTP status code.
    pub(super) code: u16,
    /// Machine-readable cause, in the terms of the Kubernetes API.
    pub(super) reason: &'static str,
    pub(super) message: String,
}

impl ApiError {
    pub(super) fn new(code: u16, reason: &'static str, message: impl Into<String>) -> Self {
        Self {
            code,
            reason,
            message: message.into(),
        }
    }

    fn not_found((resource, name): &Key) -> Self {
        let message = format!("{} {name:?} not found", resource.path());
        Self::new(404, "NotFound", message)
    }

    pub(super) fn bad_request(message: impl Into<String>) -> Self {
        Self::new(400, "BadRequest", message)
    }

    fn conflict((resource, name): &Key) -> Self {
        let message = format!(
            "operation cannot be fulfilled on {} {name:?}: the object has been modified",
            resource.path()
        );
        Self::new(409, "Conflict", message)
    }

    pub(super) fn expired(version: u64) -> Self {
        Self::new(
            410,
            "Expired",
            format!("too old resource version: {version}"),
        )
    }

    pub(super) fn too_new(version: u64) -> Self {
        let message = format!("too large resource version: {version}");
        Self::new(504, "Timeout", message)
    }

    /// The Status object that is sent as the body.
    pub(super) fn status(&self) -> Value {
        json!({
            "kind": "Status",
            "apiVersion": "v1",
            "metadata": {},
            "status": "Failure",
            "message": self.message,
            "reason": self.reason,
            "code": self.code,
        })
    }
}

/// The current objects and the recent changes that led to them.
#[derive(Default)]
pub(super) struct VersionedObjects {
    /// Version of the last change; 0 before the first one.
    pub(super) version: u64,
    pub(super) current: ObjectMap,
    /// Recent changes, oldest first. Invariant: their versions are consecutive and end with
    /// `version`.
    pub(super) history: VecDeque<Event>,
}

impl VersionedObjects {
    /// Oldest version that a watch can start after: all later changes are in the history.
    pub(super) fn oldest_version(&self) -> u64 {
        self.version - self.history.len() as u64
    }

    /// Returns the objects at `version`, or at the nearest version that the history covers,
    /// together with that version.
    pub(super) fn objects_at(&self, version: u64) -> (u64, ObjectMap) {
        let version = version.clamp(self.oldest_version(), self.version);
        let mut objects = self.current.clone();
        for event in self.history.iter().rev() {
            if event.version <= version {
                break;
            }
            match &event.before {
                Some(object) => objects.insert(event.key.clone(), object.clone()),
                None => objects.remove(&event.key),
            };
        }
        (version, objects)
    }

    /// Returns to an earlier version. Later changes are dropped, and their version numbers are
    /// reused.
    pub(super) fn restore(&mut self, version: u64) {
        let (version, objects) = self.objects_at(version);
        self.history.retain(|event| event.version <= version);
        self.current = objects;
        self.version = version;
    }

    /// Drops the changes up to and including `version` from the history.
    pub(super) fn compact(&mut self, version: u64) {
        self.history.retain(|event| event.version > version);
    }

    /// Creates an object, unless one with its name exists.
    pub(super) fn create(
        &mut self,
        resource: Resource,
        object: Value,
    ) -> Result<Arc<Value>, ApiError> {
        let name = name_of(&object)?.to_owned();
        if version_of(&object)?.is_some() {
            return Err(ApiError::bad_request(
                "resourceVersion should not be set on objects to be created",
            ));
        }
        let key = (resource, name);
        if self.current.contains_key(&key) {
            let message = format!("{} {:?} already exists", resource.path(), key.1);
            return Err(ApiError::new(409, "AlreadyExists", message));
        }
        self.put(key, object)
    }

    /// Replaces an object if `object` carries the version of the current one.
    pub(super) fn update(&mut self, key: Key, object: Value) -> Result<Arc<Value>, ApiError> {
        if name_of(&object)? != key.1 {
            return Err(ApiError::bad_request(
                "the name of the object does not match the name on the URL",
            ));
        }
        let current = self
            .current
            .get(&key)
            .ok_or_else(|| ApiError::not_found(&key))?;
        let Some(expected) = version_of(&object)? else {
            let message = "metadata.resourceVersion: must be specified for an update";
            return Err(ApiError::new(422, "Invalid", message));
        };
        if version_of(current)? != Some(expected) {
            return Err(ApiError::conflict(&key));
        }
        self.put(key, object)
    }

    /// Deletes an object; with `expected`, only if that is its version.
    pub(super) fn delete(&mut self, key: Key, expected: Option<u64>) -> Result<(), ApiError> {
        let current = self
            .current
            .get(&key)
            .ok_or_else(|| ApiError::not_found(&key))?;
        if expected.is_some() && version_of(current)? != expected {
            return Err(ApiError::conflict(&key));
        }
        let before = self.current.remove(&key);
        self.record_change(key, before, None);
        Ok(())
    }

    /// Stores an object under the next version.
    fn put(&mut self, key: Key, mut object: Value) -> Result<Arc<Value>, ApiError> {
        object["apiVersion"] = json!(API_VERSION);
        object["kind"] = json!(key.0.kind());
        let current = self.current.get(&key);
        // As in the Kubernetes API, an update that changes nothing doesn't create a new version.
        if let Some(current) = current.filter(|current| ***current == object) {
            return Ok(current.clone());
        }
        set_version(&mut object, self.version + 1);
        let object = Arc::new(object);
        let before = self.current.insert(key.clone(), object.clone());
        self.record_change(key, before, Some(object.clone()));
        Ok(object)
    }

    /// Advances the version and adds the change to the history.
    fn record_change(&mut self, key: Key, before: Option<Arc<Value>>, after: Option<Arc<Value>>) {
        self.version += 1;
        self.history.push_back(Event {
            version: self.version,
            key,
            before,
            after,
        });
        if self.history.len() > MAX_HISTORY_EVENTS {
            self.history.pop_front();
        }
    }
}

/// Looks up an object; a missing one is a 404 error.
pub(super) fn get(objects: &ObjectMap, key: &Key) -> Result<Arc<Value>, ApiError> {
    objects
        .get(key)
        .cloned()
        .ok_or_else(|| ApiError::not_found(key))
}

/// Builds the list object of a resource type; with `name`, of the object with that name only.
pub(super) fn list(
    objects: &ObjectMap,
    version: u64,
    resource: Resource,
    name: Option<&str>,
) -> Value {
    let items: Vec<&Value> = objects
        .iter()
        .filter(|((kind, object), _)| *kind == resource && name.is_none_or(|name| name == object))
        .map(|(_, object)| &**object)
        .collect();
    json!({
        "apiVersion": API_VERSION,
        "kind": format!("{}List", resource.kind()),
        "metadata": {"resourceVersion": version.to_string()},
        "items": items,
    })
}

/// Returns `metadata.name`, which must be non-empty and contain no slash.
fn name_of(object: &Value) -> Result<&str, ApiError> {
    object["metadata"]["name"]
        .as_str()
        .filter(|name| !name.is_empty() && !name.contains('/'))
        .ok_or_else(|| ApiError::new(422, "Invalid", "metadata.name: required"))
}

/// Returns `metadata.resourceVersion`; `None` if it is missing, null or empty.
fn version_of(object: &Value) -> Result<Option<u64>, ApiError> {
    match object["metadata"].get("resourceVersion") {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(text)) if text.is_empty() => Ok(None),
        Some(Value::String(text)) => text
            .parse()
            .map(Some)
            .map_err(|_| ApiError::bad_request(format!("invalid resource version {text:?}"))),
        Some(_) => Err(ApiError::bad_request("resourceVersion must be a string")),
    }
}

fn set_version(object: &mut Value, version: u64) {
    object["metadata"]["resourceVersion"] = json!(version.to_string());
}
