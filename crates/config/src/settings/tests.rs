use {
    super::{RawSettings, Settings, serve_command},
    expect_test::{Expect, expect},
};

fn complete_settings() -> RawSettings {
    RawSettings::default()
        .with("host", "kochi-a-1")
        .with("domain", "kochi-a")
        .with("advertise", "10.0.0.1:8081")
        .with("object-api", "10.0.0.7:9000")
        .with("host-list", "10.0.0.8:9000")
}

fn check_rejected(raw: RawSettings, expected: Expect) {
    let error = Settings::try_from(raw).expect_err("these settings are invalid");
    expected.assert_eq(&error.to_string());
}

#[test]
fn complete_settings_are_accepted() {
    let settings = Settings::try_from(complete_settings()).unwrap();
    assert_eq!(&*settings.host, "kochi-a-1");
    assert_eq!(settings.lease.as_millis(), 5000);
    assert_eq!(settings.callers.max_headers, 64);
    assert_eq!(settings.data_dir, None);
}

#[test]
fn all_diagnostics_are_reported_in_one_pass() {
    let raw = complete_settings()
        .with("host", "Kochi/A")
        .with("listen", "localhost")
        .with("object-api", "0.0.0.0:9000")
        .with("data-dir", "/no/such/folder")
        .with("lease-ms", "2000")
        .with("log-level", "loud")
        .with("event-log", "/no/such/folder/events.jsonl")
        .with("max-head-bytes", "9000")
        .with("head-timeout-ms", "-1");
    check_rejected(
        raw,
        expect![[r#"
            error: --host (TREFOILRING_HOST): "Kochi/A" is not accepted; accepted: 1 to 63 characters out of a-z, 0-9 and -
            error: --listen (TREFOILRING_LISTEN): "localhost" is not accepted; accepted: an IP number and a port, such as 127.0.0.1:8080
            error: --object-api (TREFOILRING_OBJECT_API): "0.0.0.0:9000" is not accepted; accepted: an IP number other than 0.0.0.0 and a port above 0, such as 10.0.0.7:9000
            error: --data-dir (TREFOILRING_DATA_DIR): "/no/such/folder" is not accepted; accepted: a folder that exists
            error: --lease-ms (TREFOILRING_LEASE_MS): "2000" is not accepted; accepted: whole milliseconds from 3000 to 600000
            error: --log-level (TREFOILRING_LOG_LEVEL): "loud" is not accepted; accepted: off, error, warn, info, debug, trace
            error: --event-log (TREFOILRING_EVENT_LOG): "/no/such/folder/events.jsonl" is not accepted; accepted: a file in a folder that exists
            error: --max-head-bytes (TREFOILRING_MAX_HEAD_BYTES): "9000" is not accepted; accepted: a whole number from 512 to 8191
            error: --head-timeout-ms (TREFOILRING_HEAD_TIMEOUT_MS): "-1" is not accepted; accepted: whole milliseconds from 10 to 600000"#]],
    );
}

#[test]
fn missing_settings_are_reported() {
    check_rejected(
        RawSettings::default(),
        expect![[r#"
            error: --host (TREFOILRING_HOST): is missing; accepted: 1 to 63 characters out of a-z, 0-9 and -
            error: --domain (TREFOILRING_DOMAIN): is missing; accepted: 1 to 63 characters out of a-z, 0-9 and -
            error: --advertise (TREFOILRING_ADVERTISE): is missing; accepted: an IP number at which other hosts reach this one and a port; required if --peer-listen names no address of its own
            error: --object-api (TREFOILRING_OBJECT_API): is missing; accepted: an IP number other than 0.0.0.0 and a port above 0, such as 10.0.0.7:9000
            error: --host-list (TREFOILRING_HOST_LIST): is missing; accepted: an IP number other than 0.0.0.0 and a port above 0, such as 10.0.0.7:9000"#]],
    );
}

#[test]
fn flags_and_raw_values_give_the_same_settings() {
    let matches = serve_command()
        .try_get_matches_from([
            "serve",
            "--host=kochi-a-1",
            "--domain=kochi-a",
            "--advertise=10.0.0.1:8081",
            "--object-api=10.0.0.7:9000",
            "--host-list=10.0.0.8:9000",
        ])
        .unwrap();
    let from_flags = Settings::try_from(RawSettings::from(&matches)).unwrap();
    assert_eq!(from_flags, Settings::try_from(complete_settings()).unwrap());
}
