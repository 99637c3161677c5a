"""Tests of the platform's formats and client."""
