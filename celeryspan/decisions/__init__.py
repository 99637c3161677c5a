"""Decisions under load and faults: no network, clock, thread or randomness."""
