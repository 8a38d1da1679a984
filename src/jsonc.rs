//! Parsing of JSON with comments, with diagnostics that name file, line and column.
//!
//! Parsing collects the errors of a text, up to [`DIAGNOSTICS_MAX`], instead of stopping at the
//! first one. Syntax errors are the exception: they end the parsing of a text.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use jsonc_parser::ast::{ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::tokens::Token;
use jsonc_parser::{CollectOptions, ParseOptions, Scanner};

/// Largest text that is parsed, in bytes: the store takes objects up to this size.
pub const SOURCE_MAX_BYTES: usize = 1_000_000;
/// Deepest nesting that is parsed. The parser recurses once per level, so this limits its stack.
pub const DEPTH_MAX: usize = 16;
/// Largest number of diagnostics that are kept. Lists are not read further when there are more.
pub const DIAGNOSTICS_MAX: usize = 100;
/// Length in characters to which a diagnostic truncates quoted text.
const QUOTE_MAX_CHARS: usize = 60;

/// A position in a source text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Name of the source: the path of a file, or the name given to [`Source::new`].
    pub file: String,
    /// Line number, from 1.
    pub line: usize,
    /// Column number in characters, from 1.
    pub column: usize,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// An error in a source text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Diagnostic {
    /// Position of the error.
    pub position: Position,
    /// Description of the error.
    pub problem: String,
    /// Description of what would be valid at the position.
    pub allowed: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {}; allowed: {}",
            self.position, self.problem, self.allowed
        )
    }
}

/// The diagnostics of one or more texts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Diagnostics {
    /// At most [`DIAGNOSTICS_MAX`] diagnostics, in the order in which they were reported.
    list: Vec<Diagnostic>,
    /// Whether further diagnostics were dropped.
    truncated: bool,
}

impl Diagnostics {
    /// Adds a diagnostic, or drops it if [`DIAGNOSTICS_MAX`] are kept already.
    pub fn push(
        &mut self,
        position: Position,
        problem: impl Into<String>,
        allowed: impl Into<String>,
    ) {
        if self.is_full() {
            self.truncated = true;
            return;
        }
        self.list.push(Diagnostic {
            position,
            problem: problem.into(),
            allowed: allowed.into(),
        });
    }

    fn is_full(&self) -> bool {
        self.list.len() == DIAGNOSTICS_MAX
    }

    /// The diagnostics that were kept, in the order in which they were reported.
    pub fn list(&self) -> &[Diagnostic] {
        &self.list
    }

    /// Whether nothing was reported.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns `value` if it is present and nothing was reported, or else the diagnostics.
    pub fn into_result<T>(self, value: Option<T>) -> Result<T, Diagnostics> {
        match value {
            Some(value) if self.is_empty() => Ok(value),
            _ => Err(self),
        }
    }
}

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, diagnostic) in self.list.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{diagnostic}")?;
        }
        if self.truncated {
            write!(f, "\nfurther errors are not listed")?;
        }
        Ok(())
    }
}

impl std::error::Error for Diagnostics {}

/// A source text with its name and the offsets of its lines.
#[derive(Clone, Debug)]
pub struct Source {
    name: String,
    text: String,
    line_starts: Vec<usize>,
}

impl Source {
    /// A source from a text in memory.
    pub fn new(name: impl Into<String>, text: impl Into<String>) -> Self {
        let text = text.into();
        let after_breaks = text.match_indices('\n').map(|(index, _)| index + 1);
        let line_starts = std::iter::once(0).chain(after_breaks).collect();
        Self {
            name: name.into(),
            line_starts,
            text,
        }
    }

    /// Reads a UTF-8 file of at most [`SOURCE_MAX_BYTES`].
    pub fn read(path: &Path) -> Result<Self, Diagnostics> {
        let name = path.display().to_string();
        let fail = |problem: String, allowed: String| {
            let mut diagnostics = Diagnostics::default();
            diagnostics.push(Source::new(name.clone(), "").position(0), problem, allowed);
            diagnostics
        };
        let bytes = read_limited(path)
            .map_err(|error| fail(format!("can't read: {error}"), "a readable file".into()))?;
        if bytes.len() > SOURCE_MAX_BYTES {
            return Err(fail("file too large".into(), size_allowed()));
        }
        let text = String::from_utf8(bytes)
            .map_err(|_| fail("not UTF-8 text".into(), "UTF-8 text".into()))?;
        Ok(Self::new(name.clone(), text))
    }

    /// The whole text.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Converts a byte offset, as given by [`Node::offset`], to a position.
    pub fn position(&self, offset: usize) -> Position {
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let start = self.line_starts[line - 1];
        let before = self.text.get(start..offset).unwrap_or("");
        Position {
            file: self.name.clone(),
            line,
            column: before.chars().count() + 1,
        }
    }

    /// Parses the text, whose value must be an object, and reads the object with `read`. Errors are
    /// added to `diagnostics`.
    ///
    /// `read` returns `None` after it reported an error.
    pub fn object<T>(
        &self,
        diagnostics: &mut Diagnostics,
        read: impl FnOnce(&mut Object<'_>) -> Option<T>,
    ) -> Option<T> {
        let reader = Reader {
            source: self,
            diagnostics: RefCell::new(std::mem::take(diagnostics)),
        };
        let value = reader.parse();
        let result = value.and_then(|value| Node::new(&reader, &value).object(read));
        *diagnostics = reader.diagnostics.into_inner();
        result
    }
}

/// Reads at most one byte more than [`SOURCE_MAX_BYTES`], so that the caller detects a file that is
/// too large and an endless special file can't exhaust the memory.
pub(crate) fn read_limited(path: &Path) -> std::io::Result<Vec<u8>> {
    use std::io::Read;

    let mut bytes = Vec::new();
    std::fs::File::open(path)?
        .take(SOURCE_MAX_BYTES as u64 + 1)
        .read_to_end(&mut bytes)?;
    Ok(bytes)
}

fn size_allowed() -> String {
    format!("at most {SOURCE_MAX_BYTES} bytes")
}

fn truncate(text: &str) -> String {
    let mut cut: String = text.chars().take(QUOTE_MAX_CHARS).collect();
    if cut.len() < text.len() {
        cut.push('…');
    }
    cut
}

/// Quotes a text for a diagnostic: truncates it and escapes control characters.
pub fn quote(text: &str) -> String {
    format!("{:?}", truncate(text))
}

struct Reader<'s> {
    source: &'s Source,
    diagnostics: RefCell<Diagnostics>,
}

impl<'s> Reader<'s> {
    fn report(&self, offset: usize, problem: impl Into<String>, allowed: impl Into<String>) {
        let mut diagnostics = self.diagnostics.borrow_mut();
        if diagnostics.is_full() {
            // Returns before the position is computed, which takes time linear in the line's
            // length.
            diagnostics.truncated = true;
            return;
        }
        diagnostics.push(self.source.position(offset), problem, allowed);
    }

    fn parse(&self) -> Option<Value<'s>> {
        let text = self.source.text.as_str();
        if text.len() > SOURCE_MAX_BYTES {
            self.report(0, "text too large", size_allowed());
            return None;
        }
        self.check_tokens(text)?;
        let collect = CollectOptions {
            comments: jsonc_parser::CommentCollectionStrategy::Off,
            tokens: false,
        };
        let options = ParseOptions {
            allow_loose_object_property_names: false,
            ..ParseOptions::default()
        };
        match jsonc_parser::parse_to_ast(text, &collect, &options) {
            Ok(parsed) if parsed.value.is_some() => parsed.value,
            Ok(_) => {
                self.report(0, "empty text", "an object in braces");
                None
            }
            Err(error) => {
                self.report(error.range().start, error.kind().to_string(), "JSON");
                None
            }
        }
    }

    /// Checks what the parser doesn't check: nesting depth, missing commas and single quotes.
    fn check_tokens(&self, text: &str) -> Option<()> {
        let mut scanner = Scanner::new(text);
        let mut depth = 0usize;
        let mut after_value = false;
        loop {
            let token = match scanner.scan() {
                Ok(Some(token)) => token,
                Ok(None) => return Some(()),
                Err(error) => {
                    self.report(error.range().start, error.kind().to_string(), "JSON");
                    return None;
                }
            };
            let opens = matches!(token, Token::OpenBrace | Token::OpenBracket);
            let closes = matches!(token, Token::CloseBrace | Token::CloseBracket);
            if matches!(token, Token::CommentLine(_) | Token::CommentBlock(_)) {
                continue;
            }
            let separates = closes || matches!(token, Token::Comma | Token::Colon);
            if after_value && !separates && depth > 0 {
                self.report(scanner.token_start(), "missing comma", "',' between values");
                return None;
            }
            if text[scanner.token_start()..].starts_with('\'') {
                self.report(
                    scanner.token_start(),
                    "single quote",
                    "text in double quotes",
                );
                return None;
            }
            if opens {
                depth += 1;
            }
            if depth > DEPTH_MAX {
                let allowed = format!("at most {DEPTH_MAX} levels");
                self.report(scanner.token_start(), "nested too deeply", allowed);
                return None;
            }
            if closes {
                depth = depth.saturating_sub(1);
            }
            after_value = closes || !(opens || separates);
        }
    }
}

/// A value of a source text, with its position.
#[derive(Clone, Copy)]
pub struct Node<'r> {
    reader: &'r Reader<'r>,
    value: &'r Value<'r>,
}

impl<'r> Node<'r> {
    fn new(reader: &'r Reader<'_>, value: &'r Value<'_>) -> Node<'r> {
        Node { reader, value }
    }

    /// Byte offset in the text at which the value starts; see [`Source::position`].
    pub fn offset(self) -> usize {
        self.value.start()
    }

    /// Reports an error at this value. Always returns `None`, as the result of a `read` function.
    pub fn report<T>(self, problem: impl Into<String>, allowed: impl Into<String>) -> Option<T> {
        self.reader.report(self.value.start(), problem, allowed);
        None
    }

    fn report_invalid<T>(self, allowed: impl Into<String>) -> Option<T> {
        let text = self.value.text(&self.reader.source.text);
        let found = match self.value {
            Value::Object(_) => "an object".to_owned(),
            Value::Array(_) => "a list".to_owned(),
            Value::StringLit(text) => quote(&text.value),
            _ => truncate(text),
        };
        self.report(format!("invalid value {found}"), allowed)
    }

    /// The string value, or `None` without an error if the value is not a string.
    pub fn as_text(self) -> Option<&'r str> {
        match self.value {
            Value::StringLit(text) => Some(&text.value),
            _ => None,
        }
    }

    /// The string value. Reports an error with `allowed` if the value is not a string.
    pub fn text(self, allowed: &str) -> Option<&'r str> {
        self.as_text().or_else(|| self.report_invalid(allowed))
    }

    /// The string value, parsed as `T`. Reports an error with `allowed` if that fails.
    pub fn parse<T: FromStr>(self, allowed: &str) -> Option<T> {
        match self.text(allowed)?.parse() {
            Ok(value) => Some(value),
            Err(_) => self.report_invalid(allowed),
        }
    }

    /// A name of one of the types of [`crate::id`], all of which follow the same rule.
    pub fn name<T: FromStr>(self) -> Option<T> {
        self.parse("1 to 63 lower-case letters, digits, '-' or '.', starting and ending with a letter or digit")
    }

    /// IP address and port, neither of them zero. IPv6 scopes are not allowed.
    pub fn address(self) -> Option<SocketAddr> {
        let allowed = "IP address and port, such as \"192.0.2.1:443\" or \"[2001:db8::1]:443\", neither of them zero";
        let address: SocketAddr = self.parse(allowed)?;
        let scoped = matches!(address, SocketAddr::V6(v6) if v6.scope_id() != 0);
        if address.port() == 0 || address.ip().is_unspecified() || scoped {
            return self.report_invalid(allowed);
        }
        Some(address)
    }

    /// A whole number in `range`.
    pub fn number(self, range: RangeInclusive<u64>) -> Option<u64> {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        match self.value {
            Value::NumberLit(number) => match number.value.parse() {
                Ok(number) if range.contains(&number) => Some(number),
                _ => self.report_invalid(allowed),
            },
            _ => self.report_invalid(allowed),
        }
    }

    /// A number with at most two decimals, returned in hundredths. `range` is in hundredths too.
    pub fn hundredths(self, range: RangeInclusive<u64>) -> Option<u64> {
        let (low, high) = (*range.start() as f64 / 100.0, *range.end() as f64 / 100.0);
        let allowed = format!("a number from {low} to {high} with at most two decimals");
        let Value::NumberLit(number) = self.value else {
            return self.report_invalid(allowed);
        };
        match parse_hundredths(number.value) {
            Some(number) if range.contains(&number) => Some(number),
            _ => self.report_invalid(allowed),
        }
    }

    /// A string with a duration in `range`; see [`parse_duration`].
    pub fn duration(self, range: RangeInclusive<Duration>) -> Option<Duration> {
        let allowed = format!(
            "a duration from {} to {} as text with a unit (ms, s, m or h)",
            DurationText(*range.start()),
            DurationText(*range.end())
        );
        match self.as_text().and_then(parse_duration) {
            Some(duration) if range.contains(&duration) => Some(duration),
            _ => self.report_invalid(allowed),
        }
    }

    /// A list whose elements are read with `read`. Elements with errors are left out.
    pub fn list<T>(self, read: impl FnMut(Node<'r>) -> Option<T>) -> Option<Vec<T>> {
        match self.value {
            Value::Array(array) => {
                let elements = array.elements.iter();
                let elements = elements.take_while(|_| !self.reader.diagnostics.borrow().truncated);
                let nodes = elements.map(|value| Node::new(self.reader, value));
                Some(nodes.filter_map(read).collect())
            }
            _ => self.report_invalid("a list in brackets"),
        }
    }

    /// An object that is read with `read`. Duplicate keys and keys that `read` doesn't take are
    /// reported.
    pub fn object<T>(self, read: impl FnOnce(&mut Object<'r>) -> Option<T>) -> Option<T> {
        let Value::Object(object) = self.value else {
            return self.report_invalid("an object in braces");
        };
        let mut object = Object {
            node: self,
            properties: &object.properties,
            known_keys: BTreeSet::new(),
        };
        object.check_duplicates();
        let value = read(&mut object);
        object.check_unknown();
        value
    }
}

/// An object that is read key by key. Keys that are never read are reported as unknown.
pub struct Object<'r> {
    node: Node<'r>,
    properties: &'r [ObjectProp<'r>],
    known_keys: BTreeSet<&'static str>,
}

impl<'r> Object<'r> {
    /// The object as a value, for errors that concern all of it.
    pub fn node(&self) -> Node<'r> {
        self.node
    }

    /// The value of an optional key.
    pub fn optional(&mut self, key: &'static str) -> Option<Node<'r>> {
        self.known_keys.insert(key);
        let found = self.properties.iter().find(|p| p.name.as_str() == key)?;
        Some(Node::new(self.node.reader, &found.value))
    }

    /// The value of a required key. Reports an error if the key is absent.
    pub fn required(&mut self, key: &'static str) -> Option<Node<'r>> {
        let found = self.optional(key);
        if found.is_none() {
            let problem = format!("missing key {key:?}");
            return self.node.report(problem, format!("the key {key:?}"));
        }
        found
    }

    fn check_duplicates(&self) {
        let mut seen = BTreeSet::new();
        for property in self.properties {
            let key = property.name.as_str();
            if !seen.insert(key) {
                let problem = format!("duplicate key {}", quote(key));
                let offset = property.name.start();
                self.node.reader.report(offset, problem, "each key once");
            }
        }
    }

    fn check_unknown(&self) {
        let known: Vec<_> = self.known_keys.iter().copied().collect();
        for property in self.properties {
            let key = property.name.as_str();
            if !self.known_keys.contains(key) {
                let problem = format!("unknown key {}", quote(key));
                let offset = property.name.start();
                self.node.reader.report(offset, problem, known.join(", "));
            }
        }
    }
}

/// Parses a duration such as `30s`: a whole number with one of the units ms, s, m and h.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(digits);
    let factor_ms = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    let number: u64 = number.parse().ok()?;
    number.checked_mul(factor_ms).map(Duration::from_millis)
}

/// Displays a duration in the form that [`parse_duration`] parses, in the largest unit that yields
/// a whole number.
pub struct DurationText(pub Duration);

impl fmt::Display for DurationText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = self.0.as_millis();
        match millis {
            0 => write!(f, "0s"),
            _ if millis.is_multiple_of(3_600_000) => write!(f, "{}h", millis / 3_600_000),
            _ if millis.is_multiple_of(60_000) => write!(f, "{}m", millis / 60_000),
            _ if millis.is_multiple_of(1_000) => write!(f, "{}s", millis / 1_000),
            _ => write!(f, "{millis}ms"),
        }
    }
}

fn parse_hundredths(text: &str) -> Option<u64> {
    let (whole, decimals) = text.split_once('.').unwrap_or((text, ""));
    if decimals.len() > 2 {
        return None;
    }
    let whole: u64 = whole.parse().ok()?;
    let decimals: u64 = format!("{decimals:0<2}").parse().ok()?;
    whole.checked_mul(100)?.checked_add(decimals)
}
