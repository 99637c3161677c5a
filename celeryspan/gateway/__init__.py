"""Services of a router on the users' platform: callers at one end, servers at the other.

May be touched for input and output around decisions. What is decided under load or
faults stands in ``celeryspan/decisions``; what the platform calls things, in
``celeryspan/platform``.
"""
