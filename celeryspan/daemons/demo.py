"""The command ``demo``: three routers and stand-ins in one process."""
