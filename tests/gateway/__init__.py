"""Tests of the router on the users' platform."""
