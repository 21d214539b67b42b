//! Service files of a set.

/// Service file of the engines.
pub const DRAFTING: &str = "\
[service]
name = drafting
kind = engine
model = almond
pool = drafting
class = summary

[class review]
tier = 2
first_token = 10s
deadline = 120s
idempotent = yes

[class summary]
tier = 1
first_token = 2s
deadline = 30s
idempotent = yes

[class urgent]
tier = 0
first_token = 1s
deadline = 30s
idempotent = yes

[workspace retail]
key = retail-key
share = 3

[workspace wholesale]
key = wholesale-key
";

/// Service file of the order service, which is a plain service.
pub const ORDERS: &str = "\
[service]
name = orders
kind = plain
pool = orders
class = booking

[class booking]
tier = 0
first_token = 2s
deadline = 20s
idempotent = no

[class lookup]
tier = 1
first_token = 1s
deadline = 20s
idempotent = yes

[workspace retail]
key = retail-key
share = 3

[workspace wholesale]
key = wholesale-key
";
