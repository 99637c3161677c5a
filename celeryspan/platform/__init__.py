"""Names, formats and calls of the users' platform; nothing here decides.

May be touched for a change of the platform's protocol only. Whatever is read here is
decoded once into the types of :mod:`celeryspan.catalog` and of the modules beside.
"""
