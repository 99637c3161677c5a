"""Benchmarks: trace replay, loopback measurements and cost slopes."""
