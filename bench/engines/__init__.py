"""An emulator of model engines on a virtual clock, and trials of placing on it.

``make bench NAME=engines`` plays the deployments and loads of ``sites/*.yaml`` and
prints what callers get.
"""
