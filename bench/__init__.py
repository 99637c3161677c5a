"""Measurements: replay of traces, loopback runs, slopes."""
