//! Fuzz tests of the parsers of settings, configuration files and stored configurations, with
//! random and mutated texts.
//!
//! Guards against panics, errors without a position, and memory use that grows faster than the
//! text.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Mutex;

use flamingofall::config::Config;
use flamingofall::files;
use flamingofall::jsonc::{Diagnostics, Source, DIAGNOSTICS_MAX, SOURCE_MAX_BYTES};
use flamingofall::settings::{AgentSettings, BalancerSettings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use yare::parameterized;

/// Allocator that counts the allocated bytes and their peak.
struct Counting;

static CURRENT: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);

// SAFETY: forwards every call to the system allocator.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let current = CURRENT.fetch_add(layout.size(), Relaxed) + layout.size();
        PEAK.fetch_max(current, Relaxed);
        System.alloc(layout)
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        CURRENT.fetch_sub(layout.size(), Relaxed);
        System.dealloc(pointer, layout)
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Makes the tests run one at a time, because they share the counters.
static SERIAL: Mutex<()> = Mutex::new(());

/// Allowance for the diagnostics, which are limited in number and length.
const BASE_BYTES: usize = 256 * 1024;
/// Allowed bytes of memory per byte of text, so that the largest text (1 MB) is read within the
/// memory budget of a node (64 MB).
const FACTOR: usize = 64;

fn read_all(text: &str) {
    let before = CURRENT.load(Relaxed);
    PEAK.store(before, Relaxed);
    let sources = [Source::new("fuzz.json", text)];
    check(files::parse(&sources, None));
    check(BalancerSettings::parse(&sources[0]));
    check(AgentSettings::parse(&sources[0]));
    if let Ok(config) = Config::from_canonical_json(text.as_bytes()) {
        assert_eq!(
            Config::from_canonical_json(&config.canonical_json()),
            Ok(config)
        );
    }
    let used = PEAK.load(Relaxed).saturating_sub(before);
    let allowed = BASE_BYTES + FACTOR * text.len();
    assert!(
        used <= allowed,
        "{used} bytes for a text of {} bytes",
        text.len()
    );
}

fn check<T>(result: Result<T, Diagnostics>) {
    let Err(diagnostics) = result else { return };
    assert!(!diagnostics.is_empty(), "rejected without a diagnostic");
    assert!(diagnostics.list().len() <= DIAGNOSTICS_MAX);
    for diagnostic in diagnostics.list() {
        assert!(diagnostic.position.line > 0 && diagnostic.position.column > 0);
        assert!(!diagnostic.problem.is_empty() && !diagnostic.allowed.is_empty());
        assert!(diagnostic.to_string().len() < 2_000, "{diagnostic}");
    }
}

const PARTS: &[&str] = &[
    "{",
    "}",
    "[",
    "]",
    ",",
    ":",
    "\"",
    "\\",
    "\\u12",
    "//",
    "/*",
    "*/",
    "\n",
    "\r\n",
    "'",
    "-",
    "1e",
    "0",
    "18446744073709551616",
    "1.25",
    "-1",
    "null",
    "true",
    "\"40s\"",
    "\"1h\"",
    "{}",
    "[]",
    "\"services\":",
    "\"name\":",
    "\"addresses\":",
    "\"buckets\":",
    "\"key\":",
    "\"http\":",
    "\"drain\":",
    "\"198.51.100.1:443\"",
    "é",
    "\u{feff}",
    "\u{0}",
    "𝄞",
];

fn mutate(text: &str, random: &mut StdRng) -> String {
    let mut text: Vec<char> = text.chars().collect();
    for _ in 0..random.random_range(1..=4) {
        let at = random.random_range(0..=text.len());
        let end = (at + random.random_range(0..40)).min(text.len());
        match random.random_range(0..4) {
            0 => drop(text.drain(at..end)),
            1 => {
                let part = PARTS[random.random_range(0..PARTS.len())];
                text.splice(at..at, part.chars());
            }
            2 => {
                let copy = text[at..end].to_vec();
                let to = random.random_range(0..=text.len());
                text.splice(to..to, copy);
            }
            _ => text.truncate(at),
        }
        if text.is_empty() {
            break;
        }
    }
    text.into_iter().collect()
}

fn random_text(random: &mut StdRng) -> String {
    let count = random.random_range(0..60);
    let parts = (0..count).map(|_| PARTS[random.random_range(0..PARTS.len())]);
    parts.collect()
}

fn seeds(default: std::ops::Range<u64>) -> std::ops::Range<u64> {
    match std::env::var("SEED") {
        Ok(seed) => {
            let seed = seed.parse().expect("SEED is a number");
            seed..seed + 1
        }
        Err(_) => default,
    }
}

fn run(test: &str, count: u64, mut make: impl FnMut(&mut StdRng) -> String) {
    let _serial = SERIAL
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    for seed in seeds(0..count) {
        let text = make(&mut StdRng::seed_from_u64(seed));
        let result = std::panic::catch_unwind(|| read_all(&text));
        if let Err(panic) = result {
            eprintln!("repeat with: SEED={seed} cargo test --test reader_fuzz {test}\n{text}");
            std::panic::resume_unwind(panic);
        }
    }
}

const FILES: &[&str] = &[
    include_str!("../examples/ahjo/config/payout-portal.json"),
    include_str!("../examples/transcripciones/config/ordering.json"),
    include_str!("../examples/ahjo/settings/entry-espoo-1.json"),
    include_str!("../examples/ahjo/settings/payout-1.json"),
];

#[test]
fn mutated_files() {
    run("mutated_files", 4_000, |random| {
        let file = FILES[random.random_range(0..FILES.len())];
        mutate(file, random)
    });
}

#[test]
fn mutated_stored() {
    let source = Source::new("ordering.json", FILES[1]);
    let text = files::parse(&[source], None).unwrap().canonical_json();
    let text = String::from_utf8(text).unwrap();
    run("mutated_stored", 2_000, |random| mutate(&text, random));
}

#[test]
fn random_parts() {
    run("random_parts", 4_000, random_text);
}

/// Guards against stack overflow and quadratic time on texts of the largest size.
#[parameterized(
    open = { "[", "" },
    objects = { "{\"a\":", "" },
    values = { "0,", "{\"services\": [" },
    keys = { "\"a\":0,", "{" },
    services = { "{\"name\":\"a\"},", "{\"services\": [" },
    comments = { "/**/", "" },
    text = { "a", "{\"member\": \"" },
)]
fn largest_texts(part: &str, start: &str) {
    let _serial = SERIAL
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    let count = (SOURCE_MAX_BYTES - start.len() - "]}".len()) / part.len();
    let text = format!("{start}{}", part.repeat(count));
    read_all(&text);
    // Closes the text, so that the parser succeeds and the values are read.
    let closed =
        text.trim_end_matches(',').to_owned() + if start.contains('[') { "]}" } else { "}" };
    read_all(&closed);
    assert!(files::parse(&[Source::new("large", text + &" ".repeat(20))], None).is_err());
}
