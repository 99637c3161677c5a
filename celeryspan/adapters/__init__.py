"""Adapters to external systems, one module per system."""
