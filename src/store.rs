//! Calls to the platform's object service and their answers, as plain values.
//!
//! The objects follow the Kubernetes API conventions under [`BASE_PATH`]: `domains/{name}` holds
//! the member records of a failure domain, `configs/{digest}` one configuration (never changed),
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

/// Path of the collections.
pub const BASE_PATH: &str = "/apis/flamingofall.io/v1";
/// Largest object that the store takes.
pub const OBJECT_MAX_BYTES: usize = 1_000_000;

/// Largest text of a configuration before compression.
pub const CONFIG_TEXT_MAX_BYTES: usize = 2_000_000;
/// Names in one answer: more than an installation keeps, so that old objects are among them.
pub const NAMES_MAX: usize = 64;

const API_VERSION: &str = "flamingofall.io/v1";
const HEAD_NAME: &str = "main";

/// A kind of object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum Collection {
    /// Member records, one object per failure domain.
    Domains,
    /// Configurations by digest.
    Configs,
    /// The accepted configuration.
    Heads,
}

impl Collection {
    /// The objects' `kind`.
    fn kind(self) -> &'static str {
        match self {
            Collection::Domains => "Domain",
            Collection::Configs => "Config",
            Collection::Heads => "Head",
        }
    }
}

/// Name of an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// The records of a failure domain.
    Domain(Domain),
    /// A configuration.
    Config(Digest),
    /// The accepted configuration.
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

/// Version of an object or of a collection, as the store writes it. Opaque to its clients.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(pub String);

/// Which configuration is accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Number of the configuration: the previous one's plus 1.
    pub generation: Generation,
    /// Name of the configuration object.
    pub digest: Digest,
    /// Digest of the configuration before it.
    #[serde(default)]
    pub previous: Option<Digest>,
    /// Who applied it.
    #[serde(default)]
    pub author: String,
    /// Random number of the `apply` that wrote it; tells whether a lost write took effect.
    #[serde(default)]
    pub apply_id: u64,
    /// Configurations accepted before this one, the latest first. Their objects are kept.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub recent: Vec<Digest>,
}

/// Content of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// Member records.
    Domain(Vec<Record>),
    /// A configuration's canonical JSON.
    Config(String),
    /// The accepted configuration.
    Head(Head),
}

/// An object as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Its name.
    pub key: Key,
    /// Its version.
    pub version: Version,
    /// Its content.
    pub value: Value,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Read one object.
    Get(Key),
    /// Read a collection.
    List(Collection),
    /// Create an object that must not exist.
    Create(Key, Value),
    /// Replace an object that must have this version.
    Update(Key, Value, Version),
    /// Give an object that must have this version a new one, with the same value. The number must
    /// differ from that of the last renewal, because a write without a change keeps the version.
    Renew(Key, Value, Version, u64),
    /// Delete an object, which must have this version if one is given.
    Delete(Key, Option<Version>),
    /// Read the names and versions of a collection's first objects, at most [`NAMES_MAX`].
    ListNames(Collection),
    /// Receive the changes of a collection after a version.
    Watch {
        /// The collection.
        collection: Collection,
        /// Version of the list or event that was seen last.
        since: Version,
        /// When the store ends the watch.
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

/// A call. The caller picks the id; each answer carries it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Number of the call within the process.
    pub id: u64,
    /// What to do.
    pub operation: Operation,
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "lowercase")]
pub enum Error {
    /// The object has another version (409).
    Conflict,
    /// There is no such object (404).
    NotFound,
    /// The object to create exists (409).
    Exists,
    /// Too many calls (429).
    Throttled,
    /// The call was not carried out.
    Unavailable,
    /// No answer arrived: a write may or may not have taken effect.
    Lost,
    /// The watched version is too old; list again (410).
    Expired,
    /// An answer outside the published conventions, or a rejected request.
    Invalid,
}

impl std::error::Error for Error {}

/// What a successful call returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The object read or written.
    Object(Object),
    /// The objects of a collection.
    List {
        /// The objects.
        objects: Vec<Object>,
        /// Where a watch continues.
        version: Version,
    },
    /// Names and versions of objects.
    Names(Vec<(Key, Version)>),
    /// The object was deleted by this call.
    Removed,
    /// A watched object was created or changed.
    Changed(Object),
    /// A watched object was deleted.
    Deleted(Key, Version),
    /// The watch has seen everything up to this version.
    Bookmark(Version),
    /// The watch ended and can be renewed from the version seen last.
    Ended,
}

/// The answer to a call. A watch has several, the last of which is [`Outcome::Ended`] or an error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The call's id.
    pub id: u64,
    /// What happened.
    pub result: Result<Outcome, Error>,
}

impl Object {
    /// The object as the store's JSON. `version` is left out if it is empty.
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

    /// Reads an object of a collection from the store's JSON.
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
            // The form of earlier versions, which is not compressed.
            Collection::Configs if !spec["text"].is_null() => Value::Config(read(&spec["text"])?),
            Collection::Configs => Value::Config(decompress(&read::<String>(&spec["zlib"])?)?),
            Collection::Heads => Value::Head(read(spec)?),
        })
    }
}

/// Compresses a text for a JSON string.
pub(crate) fn compress(text: &str) -> String {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::best());
    let written = encoder.write_all(text.as_bytes());
    // Writes to memory don't fail.
    let bytes = written.and_then(|()| encoder.finish());
    STANDARD.encode(bytes.expect("compression in memory"))
}

/// Reads a compressed text of at most [`CONFIG_TEXT_MAX_BYTES`].
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

/// Reads the answer to a list call.
pub fn list_from_json(collection: Collection, json: &Json) -> Result<Outcome, Error> {
    let items = json["items"].as_array().ok_or(Error::Invalid)?;
    // An object that can't be read must not hide the others.
    let objects = items
        .iter()
        .filter_map(|item| Object::from_json(collection, item).ok())
        .collect();
    Ok(Outcome::List {
        objects,
        version: resource_version(json)?,
    })
}

/// Reads the answer to a list call for names. Objects with other names are left out.
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

/// Reads one line of a watch. `None` for an event of no interest.
pub fn event_from_json(collection: Collection, json: &Json) -> Result<Option<Outcome>, Error> {
    let object = &json["object"];
    // An object that can't be read must not end the watch of the others.
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
