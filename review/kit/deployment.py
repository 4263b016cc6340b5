"""A small deployment on loopback addresses for the cases of the review.

Starts the program of the deploy file as separate processes, with settings made
from deploy/vm.ini, beside stand-ins of the platform's store and of engines,
which run as threads of the script. A link between two of them can pass through
a proxy of the script.
"""
import base64
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = "target/src/magnoliatide"
HOST = "shop.example"

# The bounds of ../given/kit/more/system/sites/mwambao-lm.toml, as in the example
# of settings in DEPLOY.md.
BOUNDS = {
    "seed-lag-s": "3", "addr-reuse-s": "2", "stable-window-ms": "3000",
    "ack-timeout-ms": "4000", "catch-up-s": "4", "drain-ms": "2000",
    "grace-s": "8", "lost-slack-ms": "200", "config-apply-ms": "2000",
    "rollback-slack-ms": "250", "max-skew-ms": "5000", "fail-closed": "false",
    "revoke-ms": "5000", "retry-budget-ratio": "0.2", "budget-window-s": "10",
    "budget-slack": "56", "quota-window-s": "8", "quota-overage": "0.25",
    "quota-slack": "190000", "recovery-s": "12", "pass-ms": "120",
    "retry-after-s": "10",
}


def free_port(host):
    with socket.socket() as s:
        s.bind((host, 0))
        return s.getsockname()[1]


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


class Record:
    """What was sent, answered and run, in record.txt of the case."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._lock = threading.Lock()
        self._begin = time.monotonic()

    def write(self, text):
        with self._lock:
            self._file.write("%8.3f  %s\n" % (time.monotonic() - self._begin, text))
            self._file.flush()


class Message:
    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers  # list of (name, value)
        self.body = body

    def get(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def status(self):
        return int(self.start.split(" ")[1])


class Reader:
    """Reads HTTP/1.1 messages from a socket. Returns None at its end."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def _fill(self):
        data = self.sock.recv(262144)
        self.buffer += data
        return bool(data)

    def _line(self):
        while b"\r\n" not in self.buffer:
            if not self._fill():
                return None
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def _exactly(self, count):
        parts = []
        have = len(self.buffer)
        parts.append(self.buffer)
        while have < count:
            data = self.sock.recv(1 << 20)
            if not data:
                return None
            parts.append(data)
            have += len(data)
        data = b"".join(parts)
        self.buffer = data[count:]
        return data[:count]

    def head(self):
        start = self._line()
        if start is None:
            return None
        headers = []
        while True:
            line = self._line()
            if line is None:
                return None
            if not line:
                break
            name, value = line.decode("latin-1").split(":", 1)
            headers.append((name.strip(), value.strip()))
        return Message(start.decode("latin-1"), headers, b"")

    def body(self, message, request):
        """Reads the body into the message; False if it is incomplete."""
        if message.get("Transfer-Encoding").lower() == "chunked":
            parts = []
            while True:
                line = self._line()
                if line is None:
                    message.body = b"".join(parts)
                    return False
                size = int(line.split(b";")[0], 16)
                data = self._exactly(size + 2)
                if data is None:
                    message.body = b"".join(parts)
                    return False
                if size == 0:
                    break
                parts.append(data[:-2])
            message.body = b"".join(parts)
            return True
        length = message.get("Content-Length")
        if length:
            data = self._exactly(int(length))
            message.body = data or b""
            return data is not None
        if request:
            return True
        while self._fill():
            pass
        message.body, self.buffer = self.buffer, b""
        return True


def serve(address, handle):
    """Accepts connections and calls handle(socket) for each, in a thread."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(512)

    def run(sock):
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            handle(sock)
        except (OSError, ValueError):
            pass
        finally:
            try:
                sock.close()
            except OSError:
                pass

    def accept():
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=run, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return listener


def reset(sock):
    """Resets a connection, also while another thread uses it."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RD)
        sock.close()
    except OSError:
        pass


def local_address(sock):
    try:
        return sock.getsockname()
    except OSError:
        return None


class Store:
    """The platform's store: read by nodes, written by the script."""

    def __init__(self, host="127.41.0.1"):
        self.address = (host, free_port(host))
        self._items = {}
        self._events = []
        self._revision = 100
        self._changed = threading.Condition()
        self._sockets = set()
        self._down = False
        self._listeners = {self.address: serve(self.address, self._handle)}

    def add_address(self, host):
        """Serves the store at a further address, which settings name from now on."""
        self.address = (host, free_port(host))
        self._listeners[self.address] = serve(self.address, self._handle)

    def close_address(self, address):
        """Ends the service at an address, with the connections there."""
        listener = self._listeners.pop(address)
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        with self._changed:
            sockets = [s for s in self._sockets if local_address(s) == address]
        for sock in sockets:
            reset(sock)

    def set_down(self, down):
        """Begins an outage, in which all connections are reset, or ends it."""
        with self._changed:
            self._down = down
            sockets = list(self._sockets) if down else []
        for sock in sockets:
            reset(sock)

    def put(self, key, value):
        """Writes an item and returns when that was acknowledged."""
        with self._changed:
            self._revision += 1
            created = self._items.get(key, {}).get("created-rev", self._revision)
            item = {
                "key": key, "value": base64.b64encode(value.encode()).decode(),
                "revision": self._revision, "created-rev": created, "lease": 0,
            }
            self._items[key] = item
            self._events.append(item)
            self._changed.notify_all()
        return time.monotonic()

    def remove(self, key):
        with self._changed:
            self._revision += 1
            self._items.pop(key, None)
            self._events.append({"key": key, "revision": self._revision, "removed": True})
            self._changed.notify_all()
        return time.monotonic()

    def _handle(self, sock):
        with self._changed:
            self._sockets.add(sock)
            down = self._down
        try:
            if down:
                reset(sock)
            else:
                self._serve(sock)
        finally:
            with self._changed:
                self._sockets.discard(sock)

    def _serve(self, sock):
        reader = Reader(sock)
        while True:
            request = reader.head()
            if request is None or not reader.body(request, True):
                return
            target = request.start.split(" ")[1]
            path, _, query = target.partition("?")
            values = {}
            for part in query.split("&"):
                name, _, value = part.partition("=")
                values[name] = re.sub("%([0-9A-Fa-f]{2})",
                                      lambda m: chr(int(m.group(1), 16)), value)
            status, body = self._answer(path, values)
            text = json.dumps(body).encode()
            sock.sendall(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                         b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)

    def _answer(self, path, values):
        if path == "/magnoliatide/kv-key":
            with self._changed:
                item = self._items.get(values.get("key", ""))
                body = dict(item or {})
                body["store-revision"] = self._revision
                return (200 if item else 404), body
        if path == "/magnoliatide/kv-range":
            with self._changed:
                keys = sorted(k for k in self._items
                              if k.startswith(values.get("prefix", "")) and
                              k > values.get("after", ""))
                return 200, {"items": [self._items[k] for k in keys[:500]],
                             "truncated": len(keys) > 500,
                             "store-revision": self._revision}
        if path == "/magnoliatide/kv-watch":
            after = int(values["after"])
            end = time.monotonic() + int(values["wait-ms"]) / 1000
            with self._changed:
                while True:
                    events = [e for e in self._events if e["revision"] > after and
                              e["key"].startswith(values.get("prefix", ""))]
                    left = end - time.monotonic()
                    if events or left <= 0:
                        return 200, {"events": events, "store-revision": self._revision}
                    self._changed.wait(left)
        return 404, {}


class Engine:
    """An engine. A subclass may override run() to answer in another way."""

    def __init__(self, name, service, record, index, zone="kariakoo", slots=5):
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.record = record
        host = "127.42.0.%d" % index
        self.address = (host, free_port(host))
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []  # (time, Attempt-Id, start line, message)
        self.lock = threading.Lock()
        self._sockets = set()
        self._listener = serve(self.address, self._handle)

    def exit(self):
        """Ends the engine, with the requests that it still works on."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self.lock:
            sockets = list(self._sockets)
        for sock in sockets:
            reset(sock)

    def entry(self, state="ready"):
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": "%s:%d" % self.address,
            "zone": self.zone, "version": "v1", "slots": self.slots, "state": state,
            "warmup-left-ms": 0, "stage": "colocated",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self.sequence, "born": self.born})

    def signature(self, request):
        return "sig." + request.get("Attempt-Id")

    def _handle(self, sock):
        with self.lock:
            self._sockets.add(sock)
        try:
            self._serve(sock)
        finally:
            with self.lock:
                self._sockets.discard(sock)

    def _serve(self, sock):
        reader = Reader(sock)
        while True:
            request = reader.head()
            if request is None or not reader.body(request, True):
                return
            path = request.start.split(" ")[1]
            if path == "/healthz":
                self.send(sock, 200, [("Instance-Id", self.name)], b"")
                continue
            if path == "/magnoliatide/report":
                self.send(sock, 200, [("Content-Type", "application/json")], json.dumps({
                    "stage": "colocated",
                    "models": [{"name": "m", "version": 1, "adapters": []}],
                    "busy": False, "sequence": 0, "waiting": 0, "running": 0,
                    "kv-used": 0, "kv-total": 500000, "handles": 0}).encode())
                continue
            expected = request.get("Expect-Instance")
            if expected and expected != self.name:
                self.send(sock, 421, [("Instance-Id", self.name)], b"")
                continue
            if not request.get("Attempt-Id"):
                self.send(sock, 400, [("Not-Executed", "1")], b"")
                continue
            with self.lock:
                self.runs.append((time.monotonic(), request.get("Attempt-Id"),
                                  request.start, request))
            self.record.write("%s runs %s %s (%d bytes, tenant %s)" % (
                self.name, request.get("Attempt-Id"), request.start,
                len(request.body), request.get("Tenant")))
            if not self.run(sock, request):
                return

    def run(self, sock, request):
        """Runs and answers a request. Returns whether the connection stays."""
        self.send(sock, 200, [("Attempt-Id", request.get("Attempt-Id")),
                              ("Engine-Signature", self.signature(request))],
                  b"answer to " + request.get("Attempt-Id").encode())
        return True

    def send(self, sock, status, headers, body):
        head = "HTTP/1.1 %d X\r\n" % status
        for name, value in headers + [("Content-Length", str(len(body)))]:
            head += "%s: %s\r\n" % (name, value)
        sock.sendall(head.encode("latin-1") + b"\r\n" + body)


def route(name, prefix, kind, service, timeout_ms=1000, attempts=1, **more):
    value = {"name": name, "host": HOST, "prefix": prefix, "kind": kind,
             "timeout-ms": timeout_ms, "target-latency-ms": 200, "priority": 1,
             "service": service, "attempts": attempts, "allow-anonymous": False,
             "sticky": kind == "stream"}
    if kind == "stream":
        value["resumable"] = False
        value["gap-aim-ms"] = 300
    value.update(more)
    return value


def configuration(version, routes, tenants, limits=None):
    services = sorted({r["service"] for r in routes if "service" in r} |
                      {s["service"] for r in routes for s in r.get("traffic-split", [])})
    return json.dumps({
        "version": version, "routes": routes,
        "services": [{"name": s, "health-path": "/healthz", "max-connections": 370,
                      "protocol": "h1", "tls": False} for s in services],
        "limits": limits or {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                             "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": tenants})


def tenant(name, keys, rate=0, burst=0):
    return {"name": name, "api-keys": keys, "priority": 1, "unit": "tokens",
            "plain-tokens": 200, "rate-per-s": rate, "burst": burst}


class Caller:
    """Sends requests to VMs. Each client attempt has an Attempt-Id of its own."""

    def __init__(self, deployment, prefix):
        self.deployment = deployment
        self.prefix = prefix
        self.lock = threading.Lock()
        self.count = 0
        self.answers = {}  # Attempt-Id: (time sent, status or None, body)

    def next_id(self):
        with self.lock:
            self.count += 1
            return "%s%013x" % (self.prefix, self.count)

    def call(self, vm, path, key, body=b"{}", method="POST", deadline_ms=1000, more=()):
        """Sends one request on a new connection and returns its status, or None
        if the connection ended without a complete answer."""
        name = self.next_id()
        head = ("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n"
                "Deadline-Ms: %d\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n" % (
                    method, path, HOST, name, deadline_ms, key, len(body)))
        for header in more:
            head += "%s: %s\r\n" % header
        sent = time.monotonic()
        status, text = None, b""
        try:
            with socket.create_connection(vm.front, 1) as sock:
                sock.settimeout(deadline_ms / 1000 + 1)
                sock.sendall(head.encode() + b"\r\n" + body)
                reader = Reader(sock)
                answer = reader.head()
                if answer is not None and reader.body(answer, False):
                    status, text = answer.status, answer.body
        except OSError:
            pass
        self.answers[name] = (sent, status, text)
        self.deployment.record.write("client sent %s %s %s to %s, got %s" % (
            name, method, path, vm.name, status))
        return status


class Vm:
    """One process of the role 'entry', started as deploy/system.toml says."""

    def __init__(self, deployment, index, zone):
        self.deployment = deployment
        self.name = "front-%s-%d" % (zone, index)
        self.zone = zone
        self.ip = "127.40.0.%d" % index
        self.ports = {n: free_port(self.ip)
                      for n in ("front", "ready", "control", "admin", "metrics")}
        self.front = (self.ip, self.ports["front"])
        self.process = None

    def fields(self, seeds, store):
        fields = {
            "node-name": self.name, "zone": self.zone, "ip": self.ip,
            "listen.front": "%s:%d" % self.front,
            "listen.ready": "%s:%d" % (self.ip, self.ports["ready"]),
            "listen.control": "%s:%d" % (self.ip, self.ports["control"]),
            "internal-ports.0": str(self.ports["admin"]),
            "internal-ports.1": str(self.ports["metrics"]),
            "limits.cpu-share": "0.25", "limits.memory-mb": "260",
            "seed-nodes": ",".join(seeds), "platform.address": "%s:%d" % store,
        }
        fields.update({"bounds." + k: v for k, v in BOUNDS.items()})
        return fields

    def start(self):
        d = self.deployment
        if d.stopped:
            return
        path = self.write_settings()
        self.log = open(os.path.join(d.folder, self.name + ".log"), "ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["MAGNOLIATIDE_CONFIG"] = path
        self.process = subprocess.Popen([PROGRAM, "serve"], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log,
                                        stderr=self.log)

    def write_settings(self):
        d = self.deployment
        with open(os.path.join(ROOT, "deploy/vm.ini")) as f:
            text = f.read()
        fields = self.fields(d.seeds, d.store.address)
        text = re.sub(r"\{\{([^}]*)\}\}", lambda m: fields[m.group(1)], text)
        path = os.path.join(d.folder, self.name + ".conf")
        with open(path, "w") as f:
            f.write(text)
        return path

    def ready(self):
        try:
            with socket.create_connection((self.ip, self.ports["ready"]), 1) as s:
                s.settimeout(1)
                s.sendall(b"GET /magnoliatide/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                head = Reader(s).head()
                return head is not None and head.status == 200
        except OSError:
            return False

    def signal(self, number):
        self.process.send_signal(number)

    def rss_mb(self):
        try:
            with open("/proc/%d/status" % self.process.pid) as f:
                for line in f:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0


class Deployment:
    def __init__(self, case_folder, zones=("kariakoo",)):
        if not os.path.exists(os.path.join(ROOT, PROGRAM)):
            raise CannotRun("run the build of deploy/system.toml first")
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.engines = []
        self.stopped = False
        self.vms = [Vm(self, i + 1, zone) for i, zone in enumerate(zones)]
        self.seeds = ["%s:%d" % (vm.ip, vm.ports["control"]) for vm in self.vms[:3]]

    def add_engine(self, kind, name, service, **options):
        engine = kind(name, service, self.record, len(self.engines) + 1, **options)
        self.engines.append(engine)
        self.store.put("servers/" + name, engine.entry())
        return engine

    def start(self):
        for vm in self.vms:
            vm.start()
        for vm in self.vms:
            self.await_ready(vm)

    def await_ready(self, vm, seconds=15):
        end = time.monotonic() + seconds
        while not vm.ready():
            if time.monotonic() > end or vm.process.poll() is not None:
                raise CannotRun(vm.name + " does not become ready")
            time.sleep(0.02)

    def stop(self):
        self.stopped = True
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.kill()
                vm.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case_folder, zones, case):
    """Runs case(deployment, trouble). Exits with 0, 1 or 2 as run.sh must."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = None
    try:
        deployment = Deployment(case_folder, zones)
        broken = case(deployment, trouble)
        result = 1 if broken else 0
        text = "broken: " + broken if broken else "the rule held"
        deployment.record.write(text)
        print(text)
    except (Exception, SystemExit) as error:  # pylint: disable=broad-except
        print("cannot run: %s: %s" % (type(error).__name__, error))
        result = 2
    finally:
        if deployment is not None:
            deployment.stop()
    sys.stdout.flush()
    os._exit(result)
