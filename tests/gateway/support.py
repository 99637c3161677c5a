"""Complete routers in the test process, with stand-ins for the platform."""

from __future__ import annotations

import contextlib
import http.client
import threading
from collections.abc import Callable, Iterator

from celeryspan import events, kernel
from celeryspan.daemons import gateway
from celeryspan.gateway import settings
from standins import objects, platformserver, ports, sampleconfig

HOST = sampleconfig.HOST
KEY = sampleconfig.KEY
ACCOUNT = sampleconfig.ACCOUNT
WAIT_SECONDS = sampleconfig.WAIT_SECONDS

make_configuration = sampleconfig.make_configuration
make_route = sampleconfig.make_route
wait_for = sampleconfig.wait_for


class Cluster:
    """A store with backend servers and routers, for one test."""

    def __init__(self, stack: contextlib.ExitStack) -> None:
        self._stack = stack
        self.store = objects.ObjectStore()
        self.servers: list[platformserver.PlatformServer] = []
        self.store.start()
        stack.callback(self.store.stop)

    def add_server(
        self, name: str, service: str = "gate", **values: object
    ) -> platformserver.PlatformServer:
        """Start a backend server and register it in the store."""
        version = str(values.setdefault("version", "v1"))
        server = platformserver.PlatformServer(
            name, streams=service == "planner", version=version
        )
        server.start()
        self.servers.append(server)
        self._stack.callback(server.stop)
        self.register_server(server, service, **values)
        return server

    def register_server(
        self, server: platformserver.PlatformServer, service: str, **values: object
    ) -> None:
        """Write or overwrite the entry of a backend server in the store."""
        spec = sampleconfig.make_entry(service, server.address, **values)
        self.store.put("servers", server.name, spec)

    def start_router(self, name: str = "edge-1", **values: object) -> Router:
        """Start a router with further settings and wait until it has read the store."""
        router = Router(name, str(self.store.address), **values)
        self._stack.callback(router.stop)
        registered = set(self.store._objects["servers"])
        wait_for(lambda: registered <= set(router.container.find("servers").usable()))
        if self.store.find("config", "main"):
            wait_for(lambda: router.container.find("catalogues").current() is not None)
        return router


class Router:
    """All services of a router on the platform, listening on the loopback interface."""

    def __init__(self, name: str, store: str, **values: object) -> None:
        addresses = [f"127.0.0.1:{port}" for port in ports.find_ports(4)]
        self.settings = settings.Settings(
            router=name,
            data_centre="hala-a",
            caller_address=addresses[0],
            peer_address=addresses[1],
            ready_address=addresses[2],
            directory_address=addresses[3],
            store_address=store,
            fleet_keys=("test",),
            grace_seconds=6.0,
            follows_evacuations=True,
            cold_factor=1.5,
            cold_slack=5.0,
            **values,
        )
        gateway.import_services()
        self.container = kernel.Kernel(self.settings)
        self.container.start(gateway.SERVICES)
        self._stopped = False

    def stop(self) -> None:
        """Stop all services."""
        if not self._stopped:
            self._stopped = True
            self.container.stop()

    def connect(self) -> http.client.HTTPConnection:
        """Return a connection to the address for callers."""
        host, _, port = self.settings.caller_address.partition(":")
        return http.client.HTTPConnection(host, int(port), timeout=WAIT_SECONDS)

    def call(
        self, path: str, request: str = "r1", method: str = "POST", **values: object
    ) -> http.client.HTTPResponse:
        """Send one request on a new connection; see :func:`send_request`."""
        connection = self.connect()
        answer = send_request(connection, path, request, method, **values)
        connection.close()
        return answer

    def get(self, address: str, path: str) -> tuple[int, bytes]:
        """Return status and body of a GET request to another address of the router."""
        host, _, port = address.partition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=WAIT_SECONDS)
        connection.request("GET", path)
        answer = connection.getresponse()
        body = answer.read()
        connection.close()
        return answer.status, body


def send_request(
    connection: http.client.HTTPConnection,
    path: str,
    request: str = "r1",
    method: str = "POST",
    *,
    key: str = KEY,
    body: object = b"asked",
    headers: dict[str, str] | None = None,
) -> http.client.HTTPResponse:
    """Send one request; the ``text`` of the response holds the body as bytes."""
    sent = {
        "Host": HOST,
        "Celeryspan-Request-Id": request,
        "Celeryspan-Deadline-Ms": "2000",
        "Celeryspan-Credential": key,
        **(headers or {}),
    }
    sent = {name: value for name, value in sent.items() if value}
    connection.request(method, path, body=body, headers=sent)
    answer = connection.getresponse()
    answer.text = answer.read()
    return answer


@contextlib.contextmanager
def open_cluster(*, configured: bool = True) -> Iterator[Cluster]:
    """Yield a cluster, by default with the tests' configuration in its store."""
    with contextlib.ExitStack() as stack:
        cluster = Cluster(stack)
        if configured:
            cluster.store.put("config", "main", make_configuration())
        yield cluster


def find_lines(logged: list[dict], event: events.Event) -> list[dict]:
    """Return the logged fields of all lines of an event."""
    return [line for line in list(logged) if line.get("number") == event]


def get_twice_sendable(router: Router, number: int) -> http.client.HTTPResponse:
    """Send a request that may be sent to two servers."""
    return router.call("/calls/1", f"r{number}", method="GET", body=None)


def call_until_reached(router: Router, server: platformserver.PlatformServer) -> None:
    """Send requests until a server has received one."""
    for number in range(50):
        if server.received:
            return
        get_twice_sendable(router, number)
    raise AssertionError(f"expected a request at {server.name}, found none")


def run_in_thread(function: Callable[[], None]) -> threading.Thread:
    """Call a function on a thread that does not keep the tests from ending."""
    thread = threading.Thread(target=function, daemon=True)
    thread.start()
    return thread
