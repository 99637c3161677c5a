"""Services of a router on the users' platform, between callers and backend servers.

This package does input and output. Decisions under load and faults are in
``celeryspan/decisions``; names and formats of the platform, in ``celeryspan/platform``.
"""
