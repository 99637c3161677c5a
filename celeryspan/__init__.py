"""Route requests of client accounts to backend servers, sharing capacity fairly."""

from __future__ import annotations

VERSION = "0.1.0"
