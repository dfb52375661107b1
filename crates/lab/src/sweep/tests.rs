use super::*;
use expect_test::expect;

#[test]
fn mean_has_student_t_interval() {
    let result = mean(&[1.0, 2.0, 3.0, 4.0]);
    // s = 1.29099, t(3) = 3.182: 3.182 * 1.29099 / 2.
    assert!(
        (result.value - 2.5).abs() < 1e-12 && (result.half_width - 2.0540).abs() < 1e-3,
        "{result:?}"
    );
    assert_eq!(
        mean(&[7.0]),
        Mean {
            value: 7.0,
            half_width: 0.0,
            min: 7.0,
            max: 7.0
        }
    );
}

#[test]
fn invalid_experiment_is_rejected_before_any_run() {
    let base = "seeds = [1]\npolicies = [\"dema\"]\nfigures = [\"service\"]\n";
    let texts = [
        "seeds = []\npolicies = [\"dema\"]\nfigures = [\"service\"]".to_owned(),
        base.replace("dema", "best"),
        base.replace("service", "beauty"),
        format!("{base}[[vary]]\nkey = \"nodes\"\nvalues = []"),
        format!("{base}[[vary]]\nkey = \"nodes\"\nvalues = [1, 0]"),
        format!("{base}[[vary]]\nkey = \"nodes.deep\"\nvalues = [1]\n[scenario]\nnodes = 3"),
        format!("{base}[[vary]]\nkey = \"seconds\"\nvalues = [\"long\"]"),
        format!("{base}colour = 3"),
    ];
    let messages = texts.map(|text| {
        Sweep::parse(&text).map_or_else(|error| format!("{error}\n"), |_| "accepted\n".into())
    });
    expect![[r#"
        seeds: at least one is needed
        policies: "best" is none of dema, random, least_in_flight, two_choices, bounded_hash
        figures: "beauty" is none of service, worst_10s, after, tries_per_call, p50_ms, p99_ms, mean_ms, hit_ratio, attempts_per_call, fetches_per_s, rate_limited, origin_fell, caches_fell, broken
        vary[0].values: at least one is needed
        nodes: 0 is not within 1 to 5000
        vary: nodes.deep: no such key
        seconds: invalid type: string "long", expected f64
        colour: unknown field `colour`, expected one of `title`, `scenario`, `seeds`, `policies`, `figures`, `vary`
    "#]]
    .assert_eq(&messages.concat());
}
