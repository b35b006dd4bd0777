//! The replay's quota of processor time.

use {replay::CpuQuota, rstest::rstest, std::time::Duration};

/// Interval of the readings.
const TICK_MS: u64 = 10;
/// Length of a simulated play.
const PLAY_MS: u64 = 20_000;

/// Processor time that a process gets which uses all that it can, in milliseconds.
fn used_by_busy_process(share: f64) -> u64 {
  let mut quota = CpuQuota::default();
  let mut used_ms = 0;
  for now_ms in (0..PLAY_MS).step_by(TICK_MS as usize) {
    let (now, used) = (
      Duration::from_millis(now_ms),
      Duration::from_millis(used_ms),
    );
    if !quota.is_used_up(share, now, used) {
      used_ms += TICK_MS;
    }
  }
  used_ms
}

#[rstest]
#[case(0.05)]
#[case(0.25)]
#[case(0.5)]
#[case(0.77)]
fn busy_process_gets_its_share(#[case] share: f64) {
  let expected_ms = share * PLAY_MS as f64;
  let used_ms = used_by_busy_process(share) as f64;
  // A reading comes up to a tick too late.
  let excess_ms = used_ms - expected_ms;
  assert!(
    (-1.0..=2.0 * TICK_MS as f64).contains(&excess_ms),
    "{excess_ms}"
  );
}

#[test]
fn whole_core_is_never_used_up() {
  assert_eq!(used_by_busy_process(1.5), PLAY_MS);
}

#[test]
fn unused_time_is_not_saved() {
  let mut quota = CpuQuota::default();
  let ms = Duration::from_millis;
  assert!(!quota.is_used_up(0.25, ms(0), ms(0)));
  assert!(!quota.is_used_up(0.25, ms(5_000), ms(0)));
  assert!(quota.is_used_up(0.25, ms(5_030), ms(30)));
}

#[test]
fn excess_is_taken_from_the_next_periods() {
  let mut quota = CpuQuota::default();
  let ms = Duration::from_millis;
  assert!(!quota.is_used_up(0.25, ms(0), ms(0)));
  assert!(quota.is_used_up(0.25, ms(90), ms(70)));
  assert!(quota.is_used_up(0.25, ms(100), ms(70)));
  assert!(!quota.is_used_up(0.25, ms(200), ms(70)));
}

#[test]
fn late_reading_gives_the_time_of_all_periods_that_passed() {
  let mut quota = CpuQuota::default();
  let ms = Duration::from_millis;
  assert!(!quota.is_used_up(0.1, ms(0), ms(0)));
  assert!(quota.is_used_up(0.1, ms(90), ms(60)));
  assert!(quota.is_used_up(0.1, ms(550), ms(60)));
  assert!(!quota.is_used_up(0.1, ms(1_090), ms(60)));
}
