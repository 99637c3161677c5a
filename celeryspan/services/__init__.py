"""Kernel services: the I/O around the pure logic of :mod:`celeryspan.decisions`."""
