"""Tests of the messages between routers."""
