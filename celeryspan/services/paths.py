"""URL routing of the caller API as a cherrypy object tree."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import cherrypy

if TYPE_CHECKING:
    from celeryspan.services import caller as caller_module


class Root:
    """Root of the URL tree; cherrypy maps path segments to attributes."""

    def __init__(self, caller: caller_module.Caller) -> None:
        self._caller = caller
        self.v1 = _Version(caller)

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET"])
    def metrics(self, **_: Any) -> object:
        """Return the metrics of this router."""
        return self._caller.serve(self._caller.show_metrics)


class _Version:
    """Handlers below ``/v1``."""

    def __init__(self, caller: caller_module.Caller) -> None:
        self._caller = caller
        self.chat = _Chat(caller)

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET"])
    def addresses(self, **_: Any) -> object:
        """Return router addresses and tickets."""
        return self._caller.serve(self._caller.get_addresses)

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET"])
    def status(self, **_: Any) -> object:
        """Return the status report of this router."""
        return self._caller.serve(self._caller.show_status)

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["POST"])
    def drain(self, **_: Any) -> object:
        """Start a graceful stop."""
        return self._caller.serve(self._caller.begin_drain)

    @cherrypy.expose
    def services(self, *_: Any, **__: Any) -> object:
        """Forward a call to a plain service."""
        return self._caller.serve(self._caller.call_service)


class _Chat:
    """Handlers below ``/v1/chat``."""

    def __init__(self, caller: caller_module.Caller) -> None:
        self._caller = caller

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["POST"])
    def completions(self, **_: Any) -> object:
        """Forward a chat request to a model engine."""
        return self._caller.serve(self._caller.complete_chat)
