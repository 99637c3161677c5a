"""Tests of the platform's names, formats and calls."""
