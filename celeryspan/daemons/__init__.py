"""The router daemons and the command line."""
