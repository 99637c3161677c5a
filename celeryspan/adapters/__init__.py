"""One narrow adapter for each outside system."""
