//! Stand-ins for the store, the engines and the clients, and a runner of `almondwell route` as the deploy file starts it.
//! Uses the standard library alone. `stand CASE FOLDER` plays one case and writes FOLDER/record.txt; it ends with 1 if the
//! rule was broken, with 0 if it held and with 2 if the case could not run.

mod cases;
mod engine;
mod http;
mod record;
mod router;
mod store;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: stand CASE FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let code = match cases::play(case, Path::new(folder), has_trouble) {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            2
        }
    };
    std::process::exit(code);
}
