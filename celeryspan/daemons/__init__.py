"""Thin daemons and the command line."""
