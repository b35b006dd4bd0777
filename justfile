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
