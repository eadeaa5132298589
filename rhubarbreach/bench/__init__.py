"""Load generator, demo, benchmarks and cost measurements."""
