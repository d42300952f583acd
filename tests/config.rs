//! Tests of the configuration: invalid values are reported with their paths, changes on an outdated
//! version are rejected, and every way of checking a configuration gives the same verdict.

#[macro_use]
mod support;

use carobglade::{
    Change, ConfigChange, ConfigWire, ControlState, KeyDigest, KeyIndex, ModelWire, Offset, Record,
    RouteWire, ServiceWire, StateMachine, TenantWire, UpstreamWire, Verdict, validate_config,
};
use proptest::collection::vec;
use proptest::prelude::*;
use support::Log;

fn valid_config() -> ConfigWire {
    let key = KeyDigest::of("ck-a").to_string();
    ConfigWire {
        tenants: vec![TenantWire {
            name: "apron".into(),
            class: "interactive".into(),
            keys: vec![key],
            rate: "100/s".into(),
            burst: 10,
            models: vec!["m".into(), "a".into()],
        }],
        models: vec![
            ModelWire { name: "m".into(), size: "14GiB".into(), base: None },
            ModelWire { name: "a".into(), size: "1GiB".into(), base: Some("m".into()) },
        ],
        upstreams: vec![UpstreamWire {
            name: "e".into(),
            address: "10.0.0.1:80".into(),
            data_centre: "rennes".into(),
            memory: Some("64GiB".into()),
            accelerators: 8,
            ..UpstreamWire::default()
        }],
        services: vec![ServiceWire { name: "gates".into(), upstreams: vec!["e".into()] }],
        routes: vec![RouteWire {
            prefix: "/gates/".into(),
            service: "gates".into(),
            methods: vec!["POST".into()],
            once: vec!["POST".into()],
            tenants: vec!["apron".into()],
            ..RouteWire::default()
        }],
    }
}

/// Checks that a problem is reported, with its path and value, after `invalidate` changed a valid
/// configuration.
fn check_problem(invalidate: fn(&mut ConfigWire), path: &str, expected: &str) {
    let mut wire = valid_config();
    invalidate(&mut wire);
    let problems = validate_config(&wire, Offset(1)).unwrap_err();
    let found = problems.iter().any(|p| p.path == path && p.message.contains(expected));
    assert!(found, "{problems:?}");
}

cases! { check_problem:
    an_invalid_rate => (|w| w.tenants[0].rate = "fast".into(), "$.tenants[0].rate", "\"fast\"");
    an_invalid_class => (|w| w.tenants[0].class = "vip".into(), "$.tenants[0].class", "\"vip\"");
    a_zero_burst => (|w| w.tenants[0].burst = 0, "$.tenants[0].burst", "0");
    an_invalid_digest => (|w| w.tenants[0].keys[0] = "ck-a".into(), "$.tenants[0].keys[0]", "ck-a");
    an_unknown_model => (
        |w| w.tenants[0].models.push("x".into()), "$.tenants[0].models", "\"x\"",
    );
    an_invalid_size => (|w| w.models[0].size = "14GB".into(), "$.models[0].size", "14GB");
    a_base_that_is_an_adapter => (
        |w| w.models.push(ModelWire {
            name: "b".into(), size: "1GiB".into(), base: Some("a".into()),
        }),
        "$.models[2].base", "\"a\"",
    );
    a_model_larger_than_every_upstream => (
        |w| w.models[0].size = "65GiB".into(), "$.models[0].size", "65GiB fits no upstream",
    );
    a_duplicate_name => (
        |w| w.models.push(w.models[0].clone()), "$.models[2].name", "twice",
    );
    an_invalid_address => (
        |w| w.upstreams[0].address = "host".into(), "$.upstreams[0].address", "invalid",
    );
    an_unknown_upstream => (
        |w| w.services[0].upstreams[0] = "x".into(), "$.services[0].upstreams", "\"x\"",
    );
    a_prefix_without_a_slash => (
        |w| w.routes[0].prefix = "gates".into(), "$.routes[0].prefix", "\"gates\"",
    );
    a_prefix_of_the_model_interface => (
        |w| w.routes[0].prefix = "/v1/x/".into(), "$.routes[0].prefix", "/v1/x/",
    );
    an_unknown_method => (
        |w| w.routes[0].methods.push("FETCH".into()), "$.routes[0].methods[1]", "FETCH",
    );
    a_once_method_that_the_route_does_not_allow => (
        |w| w.routes[0].once.push("PUT".into()), "$.routes[0].once", "PUT",
    );
}

#[test]
fn unknown_fields_are_refused() {
    let err = serde_json::from_str::<ConfigWire>(r#"{ "tennants": [] }"#).unwrap_err();
    assert!(err.to_string().contains("tennants"));
}

#[test]
fn a_tenant_is_found_only_by_its_own_key() {
    let index = KeyIndex::new(&validate_config(&valid_config(), Offset(1)).unwrap());
    assert_eq!(index.tenant("ck-a").unwrap().as_str(), "apron");
    assert_eq!(index.tenant("ck-b"), None);
    assert_eq!(index.tenant(""), None);
}

fn apply(log: &mut Log, state: &mut ControlState, base: u64, changes: Vec<Change>) -> bool {
    let id = format!("e{}", log.entries.len());
    let change = ConfigChange { base: Offset(base), changes };
    log.append(&id, 1, vec![Record::ConfigChange(change)]);
    state.apply(log.entries.last().unwrap());
    matches!(state.verdict(&id), Some(Verdict::Accepted(_)))
}

#[test]
fn the_second_change_on_the_same_version_is_rejected() {
    let (mut log, mut state) = (Log::default(), ControlState::default());
    let changes = Change::diff(&ConfigWire::default(), &valid_config());
    assert!(apply(&mut log, &mut state, 0, changes));
    let remove = || vec![Change::RemoveRoute("/gates/".into())];
    assert!(!apply(&mut log, &mut state, 0, remove()));
    assert_eq!(state.config().routes.len(), 1);
    assert!(apply(&mut log, &mut state, 1, remove()));
    assert_eq!(state.version(), Offset(3));
}

#[test]
fn a_recreated_tenant_is_recorded_as_recreated() {
    let (mut log, mut state) = (Log::default(), ControlState::default());
    let mut wire = valid_config();
    wire.routes.clear();
    assert!(apply(&mut log, &mut state, 0, Change::diff(&ConfigWire::default(), &wire)));
    let name = "apron".parse().unwrap();
    let created = state.config().tenants[&name].rate_limit.created;
    assert!(apply(&mut log, &mut state, 1, vec![Change::RemoveTenant("apron".into())]));
    assert!(apply(&mut log, &mut state, 2, vec![Change::Tenant(wire.tenants[0].clone())]));
    assert!(state.was_removed(&name));
    assert!(state.config().tenants[&name].rate_limit.created > created);
}

fn arbitrary_config() -> impl Strategy<Value = ConfigWire> {
    let name = || prop_oneof![Just("a"), Just("b"), Just("c"), Just("bad name")];
    let text = |name: &str| name.to_owned();
    let model =
        (name(), prop_oneof![Just("8GiB"), Just("90GiB"), Just("x")], proptest::option::of(name()))
            .prop_map(move |(n, size, base)| ModelWire {
                name: text(n),
                size: size.into(),
                base: base.map(str::to_owned),
            });
    let tenant = (name(), proptest::collection::vec(name(), 0..3), 0..3u64).prop_map(
        move |(n, models, burst)| TenantWire {
            name: n.into(),
            class: "batch".into(),
            rate: "5/s".into(),
            burst,
            keys: vec![KeyDigest::of(n).to_string()],
            models: models.into_iter().map(str::to_owned).collect(),
        },
    );
    let upstream = (name(), any::<bool>()).prop_map(|(n, memory)| UpstreamWire {
        name: n.into(),
        address: "10.0.0.1:80".into(),
        data_centre: "x".into(),
        memory: memory.then(|| "64GiB".to_owned()),
        ..UpstreamWire::default()
    });
    let service = (name(), name())
        .prop_map(|(n, u)| ServiceWire { name: n.into(), upstreams: vec![u.into()] });
    let route = (name(), name(), name()).prop_map(|(p, s, t)| RouteWire {
        prefix: format!("/{p}/"),
        service: s.into(),
        tenants: vec![t.into()],
        ..RouteWire::default()
    });
    (vec(tenant, 0..3), vec(model, 0..4), vec(upstream, 0..3), vec(service, 0..3), vec(route, 0..3))
        .prop_map(|(tenants, models, upstreams, services, routes)| {
            let mut wire = ConfigWire { tenants, models, upstreams, services, routes };
            wire.tenants.dedup_by(|a, b| a.name == b.name);
            wire
        })
}

/// Returns the configuration with only the last item of each name.
fn without_duplicates(wire: ConfigWire) -> ConfigWire {
    let mut out = ConfigWire::default();
    for change in Change::diff(&ConfigWire::default(), &wire) {
        change.apply_to(&mut out);
    }
    out
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Applying changes to a checked configuration gives the same result as checking the whole
    /// changed configuration.
    #[test]
    fn checking_changes_agrees_with_checking_the_whole_configuration(wires in proptest::collection::vec(arbitrary_config(), 1..5)) {
        let (mut accepted, mut config) = (ConfigWire::default(), validate_config(&ConfigWire::default(), Offset(0)).unwrap());
        for wire in wires.into_iter().map(without_duplicates) {
            let changes = Change::diff(&accepted, &wire);
            let checked = validate_config(&wire, Offset(0));
            let updated = config.with_changes(&changes, Offset(0));
            prop_assert_eq!(checked.is_ok(), updated.is_ok());
            if let (Ok(checked), Ok(updated)) = (checked, updated) {
                prop_assert_eq!(&checked, &updated);
                prop_assert_eq!(without_duplicates(ConfigWire::from(&checked)), without_duplicates(ConfigWire::from(&updated)));
                (accepted, config) = (ConfigWire::from(&updated), updated);
            }
        }
    }
}
