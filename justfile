default:
  just --list

# format, lint, build and test, as CI does
ci:
  .ci/run

# run all tests
test:
  ./test

# bring up stand-ins and three boxes, use them, kill one, show the time line
demo:
  ./demo

fmt:
  cargo fmt --all

clippy:
  cargo clippy --workspace --all-targets -- -D warnings

# play the fault soak: `just soak 1 50` plays 50 seeds from 1 on
soak seed="1" count="1":
  cargo build --release --locked -p rillford -p soak
  target/release/soak --seed {{seed}} --count {{count}}

# replay a day of a site file with real boxes: `just replay tests/data/two_halls.toml eventful`
replay site day *options:
  cargo build --release --locked -p rillford -p replay
  target/release/replay --site {{site}} --day {{day}} {{options}}

# score a site on the users' bench: `just score BENCH SITE "why"`
score bench site why:
  {{bench}} score {{site}} --why "{{why}}"

# hunt days of a site for broken rules: `just hunt BENCH SITE 40 "why"`
hunt bench site days why:
  {{bench}} hunt {{site}} --days {{days}} --why "{{why}}"

# compare settings, paired by seed: `just experiment BENCH SITE DAY "why" --variant a --variant b:mechanisms.role_orders=false`
experiment bench site day why *variants:
  cargo build --release --locked -p rillford -p emulator
  target/release/emulator experiment --bench {{bench}} --site {{site}} --day {{day}} --why "{{why}}" {{variants}}

# play the sites that have landed, each beside its last landing: `just regress BENCH SITES "why"`
regress bench sites why:
  cargo build --release --locked -p rillford -p emulator
  target/release/emulator regress --bench {{bench}} --sites {{sites}} --why "{{why}}"
