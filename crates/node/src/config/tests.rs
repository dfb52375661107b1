//! Parsed configurations, and the errors of invalid ones with the key that they name.
use super::*;
use expect_test::expect;

fn parse_outcome(text: &str) -> String {
    match Config::parse(text, Environment::default()) {
        Ok(config) => {
            let ignored = config
                .ignored_errors
                .iter()
                .map(|error| format!(" ({error})"));
            format!(
                "{} on {}{}\n",
                config.name,
                config.listen,
                ignored.collect::<String>()
            )
        }
        Err(error) => format!("{error}\n"),
    }
}

#[test]
fn toml_has_the_same_keys_and_checks_as_json() {
    let valid = "listen = \"127.0.0.1:6379\"\n[limits]\nsockets = 99\n[[settings.Products]]\n\
        Name = \"view\"\nLatencySlo = 100\nClientTimeout = 500.0\n";
    let outcome = |text: &str| match Config::parse_toml(text, Environment::default()) {
        Ok(config) => format!(
            "{}, {} products\n",
            config.listen,
            quartzhub_settings::products(&config.settings).len()
        ),
        Err(error) => format!("{error}\n"),
    };
    let outcomes = [
        outcome(valid),
        outcome(&valid.replace("500.0", "\"long\"")),
        outcome(&valid.replace("\"127.0.0.1:6379\"", "6379")),
        outcome(&valid.replace("sockets = 99", "sockets = -1")),
        outcome(&valid.replace("[limits]", "[limits")),
        outcome(&valid.replace("ClientTimeout", "Timeout")),
    ];
    expect![[r#"
        127.0.0.1:6379, 1 products
        settings.Products[0].ClientTimeout: a number of milliseconds above 0 is needed
        listen: invalid type: integer `6379`, expected a string
        limits.sockets: invalid value: integer `-1`, expected usize
        TOML parse error at line 2, column 8 | 2 | [limits |        ^ unclosed table, expected `]`
        settings.Products[0].ClientTimeout: a number of milliseconds above 0 is needed
    "#]]
    .assert_eq(&outcomes.concat());
}

#[test]
fn error_messages_name_the_invalid_key() {
    let product = r#"{"Name":"view","LatencySlo":100,"ClientTimeout":500}"#;
    let valid = format!(r#"{{"listen":"127.0.0.1:6379","settings":{{"Products":[{product}]}}}}"#);
    let outcome_with = |from: &str, to: &str| parse_outcome(&valid.replace(from, to));
    let outcomes = [
        parse_outcome(&valid),
        outcome_with(r#""127.0.0.1:6379""#, r#""localhost""#),
        outcome_with(r#""127.0.0.1:6379""#, "6379"),
        outcome_with(r#""listen""#, r#""seed":"xyz","listen""#),
        outcome_with(r#""listen""#, r#""limits":{"sockets":"many"},"listen""#),
        outcome_with(r#""listen""#, r#""limits":{"sockets":3},"listen""#),
        outcome_with(
            r#""listen""#,
            r#""known":{"version":1,"servers":[{"id":"a"},{"id":7}]},"listen""#,
        ),
        outcome_with(r#""listen":"127.0.0.1:6379","#, ""),
        outcome_with(product, ""),
        outcome_with(r#""LatencySlo":100"#, r#""LatencySlo":"100 ms""#),
        outcome_with(r#""LatencySlo""#, r#""Effect":"safe","LatencySlo""#),
        outcome_with("500", "-5"),
        outcome_with("500", "0"),
        outcome_with("500", "1e300"),
        outcome_with("500", "1e999"),
        outcome_with("500", "null"),
        outcome_with(product, &format!("{product},{product}")),
        outcome_with(r#""Products""#, r#""Caps":{"MostShots":0},"Products""#),
        outcome_with(r#""Products""#, r#""Caps":{"MostShots":"3"},"Products""#),
        outcome_with(
            r#""Products""#,
            r#""Caps":{"Keepalive":null,"MayDuplicate":false},"Projects":[{}],"Products""#,
        ),
        outcome_with(r#""Products""#, r#""Caps":{"Keepalive":"5 s"},"Products""#),
        outcome_with(r#""Products""#, r#""Caps":{"Keepalive":-1},"Products""#),
        outcome_with(
            r#""Products""#,
            r#""Caps":{"MayDuplicate":"no"},"Products""#,
        ),
        outcome_with(r#""Products""#, r#""Caps":{"Cancelling":1},"Products""#),
        outcome_with(
            r#""Products""#,
            r#""Invariants":{"ColdFrom":12},"Products""#,
        ),
        outcome_with(
            r#""Products""#,
            r#""Invariants":{"WarmWithin":-1},"Products""#,
        ),
        outcome_with(
            r#""Products""#,
            r#""Invariants":{"DroppedStayOpen":1},"Products""#,
        ),
        outcome_with(r#""Products""#, r#""Balancers":0,"Products""#),
        outcome_with(
            r#""Products""#,
            r#""Projects":[{"QuotaPerS":"many"}],"Products""#,
        ),
        parse_outcome(&valid[..valid.len() - 1]),
        parse_outcome(""),
        parse_outcome("{"),
    ];
    expect![[r#"
        quartzhub on 127.0.0.1:6379
        listen: "localhost" is not an address such as 127.0.0.1:6379 at line 1 column 21
        listen: invalid type: integer `6379`, expected a string at line 1 column 14
        seed: "xyz" is not a number of up to 16 hexadecimal digits at line 1 column 13
        limits.sockets: invalid type: string "many", expected usize at line 1 column 27
        limits.sockets: 3 is less than the minimum of 32
        quartzhub on 127.0.0.1:6379 (known.servers[1].id: invalid type: integer `7`, expected a string)
        listen: missing
        settings.Products: a list of at least one product is needed
        settings.Products[0].LatencySlo: a number of milliseconds above 0 is needed
        quartzhub on 127.0.0.1:6379 (settings.Products[0].Effect: not one of idempotent, deduplicated and at_most_once; treated as at_most_once)
        settings.Products[0].ClientTimeout: a number of milliseconds above 0 is needed
        settings.Products[0].ClientTimeout: a number of milliseconds above 0 is needed
        settings.Products[0].ClientTimeout: a number of milliseconds above 0 is needed
        settings.Products[0].ClientTimeout: number out of range at line 1 column 104
        settings.Products[0].ClientTimeout: a number of milliseconds above 0 is needed
        settings.Products[1].Name: "view" is used by more than one product
        settings.Caps.MostShots: a number of attempts above 0 is needed
        settings.Caps.MostShots: a number of attempts above 0 is needed
        quartzhub on 127.0.0.1:6379
        settings.Caps.Keepalive: a number of milliseconds is needed
        settings.Caps.Keepalive: a number of milliseconds is needed
        settings.Caps.MayDuplicate: true or false is needed
        settings.Caps.Cancelling: true or false is needed
        settings.Invariants.ColdFrom: a number from 0 to 1 is needed
        settings.Invariants.WarmWithin: a number of milliseconds is needed
        settings.Invariants.DroppedStayOpen: true or false is needed
        settings.Balancers: a number of nodes of at least 1 is needed
        settings.Projects[0].QuotaPerS: a number of API calls per second is needed
        EOF while parsing an object at line 1 column 105
        EOF while parsing a value at line 1 column 0
        EOF while parsing an object at line 1 column 1
    "#]]
    .assert_eq(&outcomes.concat());
}
