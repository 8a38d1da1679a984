//! Settings of the balancer and agent daemons, read from files of JSON with comments.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;

use crate::encap;
use crate::id::{Domain, Member};
use crate::jsonc::{quote, read_limited, Diagnostics, Node, Object, Source};

/// Length of the shared key in bytes.
const KEY_BYTES: usize = 16;

/// The secret key that all processes of an installation share. Its `Debug` output hides the bytes.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct SharedKey([u8; KEY_BYTES]);

impl SharedKey {
    /// A key from its bytes.
    pub fn new(bytes: [u8; KEY_BYTES]) -> Self {
        Self(bytes)
    }

    /// The secret bytes, with which control frames are sealed.
    pub fn bytes(&self) -> &[u8; KEY_BYTES] {
        &self.0
    }

    /// The key of the tags in encapsulation headers.
    pub fn encap(&self) -> encap::Key {
        encap::Key::new(self.0)
    }
}

impl fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// A text is not a key. The error doesn't contain the text, which may be secret.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidKey;

impl fmt::Display for InvalidKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid key: expected {KEY_ALLOWED}")
    }
}

impl std::error::Error for InvalidKey {}

const KEY_ALLOWED: &str = "32 hexadecimal digits";

impl FromStr for SharedKey {
    type Err = InvalidKey;

    fn from_str(text: &str) -> Result<Self, InvalidKey> {
        if text.len() != 2 * KEY_BYTES || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(InvalidKey);
        }
        let mut bytes = [0; KEY_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| InvalidKey)?;
        }
        Ok(Self(bytes))
    }
}

/// Settings of a balancer process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BalancerSettings {
    /// Name of this member; unique in the installation.
    pub member: Member,
    /// Failure domain of the host.
    pub domain: Domain,
    /// Address at which the balancer receives packets from the fabric (UDP).
    pub data: SocketAddr,
    /// Address for control frames (UDP) and bulk transfer (TCP).
    pub control: SocketAddr,
    /// Address at which metrics and readiness are served (HTTP).
    pub http: SocketAddr,
    /// URL of the store, `http://address:port`.
    pub store: String,
    /// Control addresses of other balancers. Empty only in an installation with a single balancer.
    pub peers: Vec<SocketAddr>,
    /// The shared secret.
    pub key: SharedKey,
}

/// Settings of an agent process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Name of this member; unique in the installation.
    pub member: Member,
    /// Failure domain of the host.
    pub domain: Domain,
    /// Address at which the agent receives encapsulated packets (UDP).
    pub data: SocketAddr,
    /// Address for control frames (UDP).
    pub control: SocketAddr,
    /// Address at which the agent takes announcements and serves metrics (HTTP). Invariant: a
    /// loopback address.
    pub http: SocketAddr,
    /// Address at which the backend server's host receives packets (UDP).
    pub server: SocketAddr,
    /// Address of the fabric, to which refusals are sent (UDP).
    pub fabric: SocketAddr,
    /// Control addresses of the balancers that the agent contacts. Invariant: not empty.
    pub balancers: Vec<SocketAddr>,
    /// The shared secret.
    pub key: SharedKey,
}

impl BalancerSettings {
    /// Reads a settings file.
    pub fn read(path: &Path) -> Result<Self, Diagnostics> {
        Self::parse(&Source::read(path)?)
    }

    /// Reads settings from a text. A key file is read, if the text names one.
    pub fn parse(source: &Source) -> Result<Self, Diagnostics> {
        let mut diagnostics = Diagnostics::default();
        let settings = source.object(&mut diagnostics, read_balancer);
        diagnostics.into_result(settings)
    }
}

impl AgentSettings {
    /// Reads a settings file.
    pub fn read(path: &Path) -> Result<Self, Diagnostics> {
        Self::parse(&Source::read(path)?)
    }

    /// Reads settings from a text. A key file is read, if the text names one.
    pub fn parse(source: &Source) -> Result<Self, Diagnostics> {
        let mut diagnostics = Diagnostics::default();
        let settings = source.object(&mut diagnostics, read_agent);
        diagnostics.into_result(settings)
    }
}

fn read_balancer(object: &mut Object<'_>) -> Option<BalancerSettings> {
    let member = object.required("member").and_then(Node::name);
    let domain = object.required("domain").and_then(Node::name);
    let data = read_address(object, "data");
    let control = read_address(object, "control");
    let http = read_address(object, "http");
    let store = object.required("store").and_then(read_store_url);
    let peers = read_addresses(object, "peers", &[("control", control)]);
    let key = read_key(object);
    // `control` is used with TCP too, for bulk transfer, so it can't share a port with `http`.
    check_distinct(
        object,
        &[("control", control), ("data", data), ("http", http)],
    );
    Some(BalancerSettings {
        member: member?,
        domain: domain?,
        data: data?,
        control: control?,
        http: http?,
        store: store?,
        peers: peers?,
        key: key?,
    })
}

fn read_agent(object: &mut Object<'_>) -> Option<AgentSettings> {
    let member = object.required("member").and_then(Node::name);
    let domain = object.required("domain").and_then(Node::name);
    let data = read_address(object, "data");
    let control = read_address(object, "control");
    let http = object.required("http").and_then(read_loopback_address);
    let server = read_address(object, "server");
    let fabric = read_address(object, "fabric");
    let balancers = read_addresses(object, "balancers", &[("control", control)]);
    if balancers.as_ref().is_some_and(Vec::is_empty) {
        let node = object.required("balancers")?;
        node.report::<()>("no balancer", "at least one control address");
    }
    let key = read_key(object);
    check_distinct(
        object,
        &[
            ("control", control),
            ("data", data),
            ("server", server),
            ("fabric", fabric),
        ],
    );
    Some(AgentSettings {
        member: member?,
        domain: domain?,
        data: data?,
        control: control?,
        http: http?,
        server: server?,
        fabric: fabric?,
        balancers: balancers?,
        key: key?,
    })
}

fn read_address(object: &mut Object<'_>, key: &'static str) -> Option<SocketAddr> {
    object.required(key).and_then(Node::address)
}

fn read_loopback_address(node: Node<'_>) -> Option<SocketAddr> {
    let address = node.address()?;
    if address.ip().is_loopback() {
        return Some(address);
    }
    // The agent trusts announcements, so only processes of the same host may send them.
    node.report(
        format!("address {address} is not on loopback"),
        "a loopback address, such as \"127.0.0.1:9100\"",
    )
}

/// Reads a list of addresses. Reports duplicates and addresses of the process itself (`own`).
fn read_addresses(
    object: &mut Object<'_>,
    key: &'static str,
    own: &[(&str, Option<SocketAddr>)],
) -> Option<Vec<SocketAddr>> {
    let mut seen = BTreeSet::new();
    object.required(key)?.list(|node| {
        let address = node.address()?;
        if let Some((name, _)) = own.iter().find(|(_, own)| *own == Some(address)) {
            return node.report(
                format!("{address} is this process's own {name:?} address"),
                "addresses of other processes",
            );
        }
        if !seen.insert(address) {
            return node.report(format!("duplicate address {address}"), "each address once");
        }
        Some(address)
    })
}

/// Reports addresses that are used by two keys.
fn check_distinct(object: &mut Object<'_>, addresses: &[(&'static str, Option<SocketAddr>)]) {
    for (index, (key, address)) in addresses.iter().enumerate() {
        let Some(address) = address else { continue };
        let same = addresses[..index]
            .iter()
            .find(|(_, a)| *a == Some(*address));
        let Some((other, _)) = same else { continue };
        if let Some(node) = object.optional(key) {
            node.report::<()>(
                format!("{key:?} has the same address as {other:?}: {address}"),
                "a different address for each key",
            );
        }
    }
}

/// The address in the URL of a store, `http://address:port`, with or without a slash at the end.
/// `None` if the URL is invalid, or the address or port is zero.
pub fn store_address(url: &str) -> Option<SocketAddr> {
    let address = url.strip_prefix("http://")?.trim_end_matches('/');
    let address: SocketAddr = address.parse().ok()?;
    (address.port() != 0 && !address.ip().is_unspecified()).then_some(address)
}

fn read_store_url(node: Node<'_>) -> Option<String> {
    let allowed = "\"http://\" with IP address and port, such as \"http://192.0.2.9:8080\"";
    let text = node.text(allowed)?;
    match store_address(text) {
        Some(address) => Some(format!("http://{address}")),
        None => node.report(format!("invalid store URL {}", quote(text)), allowed),
    }
}

fn read_key(object: &mut Object<'_>) -> Option<SharedKey> {
    let text = object.optional("key");
    let file = object.optional("key_file");
    match (text, file) {
        (Some(text), None) => match text.as_text().map(str::parse) {
            Some(Ok(key)) => Some(key),
            _ => text.report("invalid key", KEY_ALLOWED),
        },
        (None, Some(file)) => read_key_file(file),
        (None, None) => object.node().report("no key", "\"key\" or \"key_file\""),
        (Some(_), Some(file)) => file.report(
            "both \"key\" and \"key_file\" are set",
            "\"key\" or \"key_file\"",
        ),
    }
}

fn read_key_file(node: Node<'_>) -> Option<SharedKey> {
    let path = node.text("path of a file")?;
    let allowed = format!("a file that contains {KEY_ALLOWED}");
    // The path is not printed, because it may be the key itself, set as `key_file` by mistake.
    match read_limited(Path::new(path)) {
        Ok(bytes) => match String::from_utf8_lossy(&bytes).trim().parse() {
            Ok(key) => Some(key),
            Err(InvalidKey) => node.report("the key file does not contain a key", allowed),
        },
        Err(error) => node.report(format!("can't read the key file: {error}"), allowed),
    }
}
