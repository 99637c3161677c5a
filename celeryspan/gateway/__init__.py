"""Services of a router on the users' platform, between callers and servers.

May be touched for input and output around decisions. What is decided under load or
faults stands in ``celeryspan/decisions``; what the platform calls things, in
``celeryspan/platform``.
"""
