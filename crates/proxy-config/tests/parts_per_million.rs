//! Fractions in parts per million.

use latchhaven_proxy_config::parts_per_million::PartsPerMillion;

#[test]
fn fraction_is_clamped_and_rounded() {
    for (fraction, floor, nearest) in [
        (-0.5, 0, 0),
        (0.0, 0, 0),
        (0.000_000_6, 0, 1),
        (0.25, 250_000, 250_000),
        (0.999_999_9, 999_999, 1_000_000),
        (1.5, 1_000_000, 1_000_000),
    ] {
        assert_eq!(PartsPerMillion::from_fraction_floor(fraction).get(), floor, "{fraction}");
        assert_eq!(PartsPerMillion::from_fraction_nearest(fraction).get(), nearest, "{fraction}");
    }
}

#[test]
fn display_and_debug_format_the_number_of_parts() {
    let parts = PartsPerMillion::new(125_000);
    assert_eq!(format!("{parts} {parts:?}"), "125000 125000");
    assert_eq!(format!("{:?}", vec![parts, PartsPerMillion::ZERO]), "[125000, 0]");
}

#[test]
fn steps_round_down_and_differences_are_never_negative() {
    let step = PartsPerMillion::new(10_000);
    assert_eq!(PartsPerMillion::new(29_999).round_down_to_multiple_of(step), PartsPerMillion::new(20_000));
    assert_eq!(PartsPerMillion::FULL.saturating_sub(step), PartsPerMillion::new(990_000));
    assert_eq!(step.saturating_sub(PartsPerMillion::FULL), PartsPerMillion::ZERO);
}
