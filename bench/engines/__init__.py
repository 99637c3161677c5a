"""An emulator of inference engines on a virtual clock, to compare placement policies.

``make bench NAME=placing`` replays the deployments and loads of ``sites/*.yaml`` and
prints the latency and the refusals that callers see.
"""
