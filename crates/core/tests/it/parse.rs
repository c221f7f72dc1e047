use amaranthgw_core::{
    DemandShare, MapVersion, MilliSpan, PartId, RequestRate, StoreEra, StoreRevision, VmId,
};
use yare::parameterized;

#[parameterized(
    parse_span_millis = { "250ms", 250 },
    parse_span_seconds = { "3s", 3_000 },
    parse_span_minutes = { "2min", 120_000 },
    parse_span_largest = { "18446744073709551615ms", u64::MAX },
    parse_span_half_second = { "8.5s", 8_500 },
    parse_span_zero_fraction = { "8.0s", 8_000 },
    parse_span_inexact_fraction = { "4.35s", 4_350 },
    parse_span_part_of_minute = { "0.25min", 15_000 },
    parse_span_part_of_millisecond = { "1.4ms", 1 },
    parse_span_exponent = { "1.05e1s", 10_500 },
)]
fn parse_span(text: &str, millis: u64) {
    let span = text.parse::<MilliSpan>().expect("valid span");
    assert_eq!(span.millis(), millis);
    assert_eq!(span.to_string().parse(), Ok(span));
}

#[parameterized(
    parse_span_without_unit = { "250" },
    parse_span_without_number = { "ms" },
    parse_span_negative = { "-1s" },
    parse_span_too_large = { "18446744073709551615min" },
    parse_span_empty = { "" },
    parse_span_no_fraction = { "8.s" },
    parse_span_no_whole = { ".5s" },
    parse_span_two_points = { "1.2.3s" },
    parse_span_negative_fraction = { "-0.5s" },
    parse_span_decimal_too_large = { "1.5e300s" },
    parse_span_infinite = { "1e999s" },
    parse_span_not_a_number = { "NaNs" },
)]
fn parse_span_rejected(text: &str) {
    let error = text.parse::<MilliSpan>().expect_err("invalid span");
    assert!(error.to_string().contains("MilliSpan"), "{error}");
}

#[parameterized(
    parse_id_empty = { "" },
    parse_id_space = { "vm 1" },
    parse_id_newline = { "vm\n" },
    parse_id_too_long = { "vvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvv" },
)]
fn parse_id_rejected(text: &str) {
    let error = text.parse::<VmId>().expect_err("invalid id");
    assert!(error.to_string().contains("VmId"), "{error}");
}

#[test]
fn parse_id_round_trip() {
    let id: VmId = "tartu-a/vm.1".parse().expect("valid id");
    let json = serde_json::to_string(&id).expect("serialises");
    assert_eq!(
        serde_json::from_str::<VmId>(&json).expect("deserialises"),
        id
    );
}

#[test]
fn parse_part_round_trip() {
    let part: PartId = "5c1E07a2".parse().expect("valid part");
    assert_eq!(part, PartId::new(0x5c1e_07a2));
    assert_eq!(part.to_string(), "5c1e07a2");
}

#[parameterized(
    parse_part_empty = { "" },
    parse_part_sign = { "+5c" },
    parse_part_not_hexadecimal = { "part" },
    parse_part_too_long = { "12345678901234567" },
)]
fn parse_part_rejected(text: &str) {
    text.parse::<PartId>().expect_err("invalid part");
}

#[test]
fn parse_rate_round_trip() {
    let rate: RequestRate = "200/s".parse().expect("valid rate");
    assert_eq!(rate.per_second(), 200);
    assert_eq!(rate.to_string(), "200/s");
    "200"
        .parse::<RequestRate>()
        .expect_err("a rate without its unit");
}

#[test]
fn next_version_saturates() {
    assert_eq!(MapVersion::new(u64::MAX).next(), MapVersion::new(u64::MAX));
}

#[parameterized(
    none = { "0.000000", 0 },
    third = { "0.333333", 333_333 },
    least = { "0.000001", 1 },
    whole = { "1.000000", 1_000_000 },
)]
fn parse_share(text: &str, millionths: u32) {
    let share: DemandShare = text.parse().expect("valid share");
    assert_eq!(share, DemandShare::new(millionths));
    assert_eq!(share.to_string(), text);
}

#[parameterized(
    negative = { "-0.1" },
    above_whole = { "1.1" },
    no_number = { "NaN" },
    empty = { "" },
)]
fn parse_share_rejected(text: &str) {
    let error = text.parse::<DemandShare>().expect_err("invalid share");
    assert!(error.to_string().contains("DemandShare"), "{error}");
}

#[parameterized(
    first_era = { "57", StoreRevision::new(57) },
    later_era = { "3-57", StoreRevision::in_era(StoreEra::new(3), 57) },
)]
fn parse_revision(text: &str, revision: StoreRevision) {
    assert_eq!(text.parse(), Ok(revision));
    assert_eq!(revision.to_string(), text);
    let json = serde_json::to_string(&revision).expect("serialises");
    assert_eq!(
        serde_json::from_str::<StoreRevision>(&json).ok(),
        Some(revision)
    );
}

#[parameterized(
    empty = { "" },
    no_number = { "3-" },
    no_era = { "-57" },
    negative = { "3--57" },
)]
fn parse_revision_rejected(text: &str) {
    text.parse::<StoreRevision>().expect_err("invalid revision");
}

// Numbers go back when the store returns from a copy; the order of revisions doesn't.
#[test]
fn revision_of_later_era_is_later() {
    let earlier = StoreRevision::new(1_000);
    let later = StoreRevision::in_era(StoreEra::new(1), 700);
    assert!(later > earlier);
    assert!(later.next() > later);
}
