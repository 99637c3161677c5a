"""Stand-ins for the external systems that tests, benchmarks and the demo use."""
