//! Runs one case of the review: `review-harness CASE FOLDER TROUBLE`. Exits with 1 if a rule was broken,
//! with 0 if it held, and with 2 if the case couldn't run. If TROUBLE is 0, the
//! disruption is left out.

mod cases;
mod client;
mod http;
mod json;
mod packet;
mod process;
mod server;
mod store;
mod world;

use std::path::Path;
use std::process::exit;

use world::World;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, trouble] = arguments.as_slice() else {
        eprintln!("usage: review-harness CASE FOLDER TROUBLE");
        exit(2);
    };
    if !Path::new("target/release/flamingofall-platform").exists() {
        eprintln!("target/release/flamingofall-platform is missing");
        exit(2);
    }
    let trouble = trouble != "0";
    let mut world = match World::new(Path::new(folder)) {
        Ok(world) => world,
        Err(error) => {
            eprintln!("{error}");
            exit(2);
        }
    };
    let result = cases::run(case, &mut world, trouble);
    let (counts, broken) = world.finish();
    println!(
        "{case}: {} attempts sent, {} requests answered, {} failed, {} runs",
        counts.requests, counts.served, counts.failed, counts.runs
    );
    if let Err(error) = result {
        println!("couldn't run: {error}");
        exit(2);
    }
    for (rule, text) in broken.iter().take(10) {
        println!("broken {rule}: {text}");
    }
    if broken.len() > 10 {
        println!("and {} more", broken.len() - 10);
    }
    // Only the rule that the case is about decides.
    let rule = cases::rule(case);
    let decisive = broken.iter().filter(|(broken, _)| *broken == rule).count();
    println!("{rule} broken {decisive} times");
    exit(i32::from(decisive > 0));
}
