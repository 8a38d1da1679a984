//! Calls to the platform's object service (the store) and their answers, as plain values without
//! I/O, and the JSON encoding of its objects.
//!
//! The objects follow the Kubernetes API conventions under [`BASE_PATH`]: `domains/{name}` holds
//! the member records of a failure domain, `configs/{digest}` one configuration (immutable),
//! and `heads/main` names the accepted configuration.

use std::fmt;
use std::io::{Read, Write};
use std::time::Duration;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use flate2::Compression;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value as Json};
use strum::{Display, EnumString, IntoStaticStr};

use crate::id::{Digest, Domain, Generation};
use crate::member::Record;

/// Path under which the store serves its collections.
pub const BASE_PATH: &str = "/apis/flamingofall.io/v1";
/// Largest object that the store accepts.
pub const OBJECT_MAX_BYTES: usize = 1_000_000;

/// Largest canonical JSON of a configuration, before compression.
pub const CONFIG_TEXT_MAX_BYTES: usize = 2_000_000;
/// Names requested in one list call: more than an installation keeps, so that the answer
/// includes old objects, which `apply` deletes.
pub const NAMES_MAX: usize = 64;

const API_VERSION: &str = "flamingofall.io/v1";
const HEAD_NAME: &str = "main";

/// A collection of the store. Each holds objects of one kind and has its name in the path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum Collection {
    /// Member records, one object per failure domain.
    Domains,
    /// Configurations, named by their digest.
    Configs,
    /// The object that names the accepted configuration.
    Heads,
}

impl Collection {
    /// Value of the field `kind` in the collection's objects.
    fn kind(self) -> &'static str {
        match self {
            Collection::Domains => "Domain",
            Collection::Configs => "Config",
            Collection::Heads => "Head",
        }
    }
}

/// Identifies an object by its collection and name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// The records of a failure domain.
    Domain(Domain),
    /// The configuration with this digest.
    Config(Digest),
    /// The object that names the accepted configuration.
    Head,
}

impl Key {
    /// The collection that holds the object.
    pub fn collection(&self) -> Collection {
        match self {
            Key::Domain(_) => Collection::Domains,
            Key::Config(_) => Collection::Configs,
            Key::Head => Collection::Heads,
        }
    }

    /// The object's name within its collection.
    pub fn name(&self) -> String {
        match self {
            Key::Domain(domain) => domain.to_string(),
            Key::Config(digest) => digest.to_string(),
            Key::Head => HEAD_NAME.to_owned(),
        }
    }
}

impl Key {
    fn from_json(collection: Collection, json: &Json) -> Result<Self, Error> {
        let name = metadata_field(json, "name").ok_or(Error::Invalid)?;
        Ok(match collection {
            Collection::Domains => Key::Domain(name.parse().map_err(|_| Error::Invalid)?),
            Collection::Configs => Key::Config(name.parse().map_err(|_| Error::Invalid)?),
            Collection::Heads if name == HEAD_NAME => Key::Head,
            Collection::Heads => return Err(Error::Invalid),
        })
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.collection(), self.name())
    }
}

/// The `resourceVersion` of an object or collection. Opaque to clients of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(pub String);

/// Names the accepted configuration. Replacing it is what puts a configuration into force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Number of the configuration: 1 more than the previous one's or, after the store was restored
    /// from an older copy, than the highest that a balancer reports.
    pub generation: Generation,
    /// Name of the configuration object.
    pub digest: Digest,
    /// Digest of the configuration accepted before this one.
    #[serde(default)]
    pub previous: Option<Digest>,
    /// Author given to the command that applied it; not authenticated.
    #[serde(default)]
    pub author: String,
    /// Random number of the `apply` that wrote the head. It tells whether a write took effect whose
    /// answer was lost.
    #[serde(default)]
    pub apply_id: u64,
    /// Digests of configurations accepted before this one, the latest first. Their objects are not
    /// deleted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub recent: Vec<Digest>,
}

/// Content of an object, which JSON holds in the field `spec`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// Member records of a failure domain.
    Domain(Vec<Record>),
    /// A configuration's canonical JSON.
    Config(String),
    /// Which configuration is accepted.
    Head(Head),
}

/// An object as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Collection and name.
    pub key: Key,
    /// Version after its last write; empty in an object to create.
    pub version: Version,
    /// Content. Its variant belongs to the key's collection.
    pub value: Value,
}

/// What a call asks of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Read one object.
    Get(Key),
    /// Read all objects of a collection.
    List(Collection),
    /// Create an object. Fails with [`Error::Exists`] if there is one.
    Create(Key, Value),
    /// Replace an object. Fails with [`Error::Conflict`] unless it has this version.
    Update(Key, Value, Version),
    /// Write an object with the same value to change its version. Fails with [`Error::Conflict`]
    /// unless it has this version. The number must differ from that of the last renewal, because a
    /// write without a change keeps the version.
    Renew(Key, Value, Version, u64),
    /// Delete an object. Fails with [`Error::Conflict`] if a version is given and the object has
    /// another one.
    Delete(Key, Option<Version>),
    /// Read the names and versions of a collection's first objects, at most [`NAMES_MAX`].
    ListNames(Collection),
    /// Receive the changes to a collection after a version.
    Watch {
        /// Collection to watch.
        collection: Collection,
        /// Version of the last list, event or bookmark that was received.
        since: Version,
        /// Time after which the store ends the watch.
        timeout: Duration,
    },
}

impl fmt::Display for Operation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Operation::Get(key) => write!(f, "get {key}"),
            Operation::List(collection) => write!(f, "list {collection}"),
            Operation::Create(key, _) => write!(f, "create {key}"),
            Operation::Update(key, _, _) => write!(f, "update {key}"),
            Operation::Renew(key, ..) => write!(f, "renew {key}"),
            Operation::Delete(key, _) => write!(f, "delete {key}"),
            Operation::ListNames(collection) => write!(f, "names {collection}"),
            Operation::Watch { collection, .. } => write!(f, "watch {collection}"),
        }
    }
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Chosen by the code that makes the call; each answer carries it.
    pub id: u64,
    /// What the store has to do.
    pub operation: Operation,
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "lowercase")]
pub enum Error {
    /// The object has another version (409).
    Conflict,
    /// The object does not exist (404).
    NotFound,
    /// The object to create already exists (409).
    Exists,
    /// The store rejected the call because it gets too many (429).
    Throttled,
    /// The store was unreachable or unavailable (503), or a read got no answer. The call changed
    /// nothing.
    Unavailable,
    /// No answer arrived in time, or the store failed with another 5xx status: a write may or may
    /// not have taken effect.
    Lost,
    /// The watch can't continue from this version (410); list the collection again.
    Expired,
    /// The store rejected the request, or its answer doesn't follow the API conventions.
    Invalid,
}

impl std::error::Error for Error {}

/// What a successful call returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The object that was read or written, with its current version.
    Object(Object),
    /// The readable objects of a collection.
    List {
        /// Objects in the order of the answer.
        objects: Vec<Object>,
        /// Version from which a watch continues.
        version: Version,
    },
    /// Names and versions of at most [`NAMES_MAX`] objects.
    Names(Vec<(Key, Version)>),
    /// This call has deleted the object.
    Removed,
    /// A watched object was created or changed.
    Changed(Object),
    /// A watched object was deleted. A watch continues from the version.
    Deleted(Key, Version),
    /// The watch has delivered every change up to this version.
    Bookmark(Version),
    /// The watch ended. A new one can continue from the last version received.
    Ended,
}

/// An answer to a call. A watch has several, the last of which is [`Outcome::Ended`] or an error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Id of the call.
    pub id: u64,
    /// What the call returned, or why it failed.
    pub result: Result<Outcome, Error>,
}

impl Object {
    /// Encodes the object in the store's JSON, without `resourceVersion` if `version` is empty.
    pub fn to_json(&self) -> Json {
        let mut metadata = json!({ "name": self.key.name() });
        if !self.version.0.is_empty() {
            metadata["resourceVersion"] = json!(self.version.0);
        }
        json!({
            "apiVersion": API_VERSION,
            "kind": self.key.collection().kind(),
            "metadata": metadata,
            "spec": self.value.to_json(),
        })
    }

    /// Decodes an object of a collection from the store's JSON.
    pub fn from_json(collection: Collection, json: &Json) -> Result<Self, Error> {
        Ok(Object {
            key: Key::from_json(collection, json)?,
            value: Value::from_json(collection, &json["spec"])?,
            version: resource_version(json)?,
        })
    }
}

impl Value {
    fn to_json(&self) -> Json {
        match self {
            Value::Domain(records) => json!({ "records": records }),
            Value::Config(text) => json!({ "zlib": compress(text) }),
            Value::Head(head) => json!(head),
        }
    }

    fn from_json(collection: Collection, spec: &Json) -> Result<Self, Error> {
        fn read<T: for<'a> Deserialize<'a>>(json: &Json) -> Result<T, Error> {
            T::deserialize(json).map_err(|_| Error::Invalid)
        }
        Ok(match collection {
            Collection::Domains => Value::Domain(read(&spec["records"])?),
            // Earlier versions wrote the text without compression.
            Collection::Configs if !spec["text"].is_null() => Value::Config(read(&spec["text"])?),
            Collection::Configs => Value::Config(decompress(&read::<String>(&spec["zlib"])?)?),
            Collection::Heads => Value::Head(read(spec)?),
        })
    }
}

/// Compresses a text with zlib and encodes it in base64 for a JSON string.
pub(crate) fn compress(text: &str) -> String {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::best());
    let written = encoder.write_all(text.as_bytes());
    // Writes to a `Vec` don't fail.
    let bytes = written.and_then(|()| encoder.finish());
    STANDARD.encode(bytes.expect("compression in memory"))
}

/// Reverses [`compress`]. Fails if the text is longer than [`CONFIG_TEXT_MAX_BYTES`], without
/// decompressing the rest.
fn decompress(compressed: &str) -> Result<String, Error> {
    let bytes = STANDARD.decode(compressed).map_err(|_| Error::Invalid)?;
    let mut text = String::new();
    let mut limited = ZlibDecoder::new(&bytes[..]).take(CONFIG_TEXT_MAX_BYTES as u64 + 1);
    let read = limited.read_to_string(&mut text);
    match read.is_ok() && text.len() <= CONFIG_TEXT_MAX_BYTES {
        true => Ok(text),
        false => Err(Error::Invalid),
    }
}

fn metadata_field<'a>(json: &'a Json, field: &str) -> Option<&'a str> {
    json["metadata"][field].as_str()
}

fn resource_version(json: &Json) -> Result<Version, Error> {
    let text = metadata_field(json, "resourceVersion").ok_or(Error::Invalid)?;
    Ok(Version(text.to_owned()))
}

/// Decodes the answer to a list call. Objects that can't be decoded are left out.
pub fn list_from_json(collection: Collection, json: &Json) -> Result<Outcome, Error> {
    let items = json["items"].as_array().ok_or(Error::Invalid)?;
    // One malformed object must not make the whole collection unreadable.
    let objects = items
        .iter()
        .filter_map(|item| Object::from_json(collection, item).ok())
        .collect();
    Ok(Outcome::List {
        objects,
        version: resource_version(json)?,
    })
}

/// Decodes the answer to a list call for names. Objects whose name is not valid in the collection
/// are left out.
pub fn names_from_json(collection: Collection, json: &Json) -> Result<Outcome, Error> {
    let items = json["items"].as_array().ok_or(Error::Invalid)?;
    let read = |item| {
        Some((
            Key::from_json(collection, item).ok()?,
            resource_version(item).ok()?,
        ))
    };
    Ok(Outcome::Names(items.iter().filter_map(read).collect()))
}

/// Decodes one line of a watch. Returns `None` for an event of an unknown type or with an object
/// that can't be decoded; such events are skipped.
pub fn event_from_json(collection: Collection, json: &Json) -> Result<Option<Outcome>, Error> {
    let object = &json["object"];
    // One malformed object must not end the watch.
    let read = || Object::from_json(collection, object).ok();
    Ok(match json["type"].as_str().ok_or(Error::Invalid)? {
        "ADDED" | "MODIFIED" => read().map(Outcome::Changed),
        "DELETED" => read().map(|object| Outcome::Deleted(object.key, object.version)),
        "BOOKMARK" => Some(Outcome::Bookmark(resource_version(object)?)),
        "ERROR" if object["code"] == json!(410) => return Err(Error::Expired),
        "ERROR" => return Err(Error::Unavailable),
        _ => None,
    })
}
