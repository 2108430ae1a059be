use super::*;
use rand::SeedableRng;

fn weight(host: u64, weight: u16) -> HostWeight {
    HostWeight { host, weight }
}

#[test]
fn a_plan_draws_hosts_by_recent_placements_until_its_allowance_is_used_up() {
    let mut shares = PlacementShares::default();
    for n in 0..90 {
        shares.record(HostId(if n % 3 == 0 { 1 } else { 2 }), 1);
    }
    shares.record(HostId(9), 1);
    let weights = shares.weights(1, |id| id != HostId(9));
    assert_eq!(weights, [weight(2, 1000), weight(1, 500)]);
    let mut plan = FallbackPlan::new(&weights, 300);
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    let first = (0..300)
        .filter(|_| plan.draw(&mut rng, |_| true) == Some(HostId(1)))
        .count();
    assert!((80..=120).contains(&first), "{first}");
    assert_eq!(plan.draw(&mut rng, |_| true), None);
    let mut plan = FallbackPlan::new(&weights, 300);
    assert!((0..50).all(|_| plan.draw(&mut rng, |id| id != HostId(2)) == Some(HostId(1))));
    assert_eq!(plan.draw(&mut rng, |_| false), None);
}

#[test]
fn hosts_without_recent_placements_are_left_out_of_the_plan() {
    let mut shares = PlacementShares::default();
    shares.record(HostId(1), 0);
    shares.record(HostId(2), 20 * SECOND);
    assert_eq!(shares.weights(20 * SECOND, |_| true), [weight(2, 1000)]);
}
