"""Names, formats and calls of the users' platform, without any decisions.

Changes only when the platform's protocol changes. All input is decoded once, into the
types of :mod:`celeryspan.catalog` and of the modules in this package.
"""
