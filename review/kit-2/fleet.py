"""A small deployment on loopback addresses, for the review's scripts.

Renders deploy/vm.ini with the fields of a VM, starts the program with the run
line of deploy/system.toml, and provides stand-ins of the metadata store, of
engines and of clients that follow PROTOCOL.md. Standard library only.
"""
import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
NET = 20 + os.getpid() % 200  # Second byte of this run's loopback addresses.
HOST_NAME = "shop.example"
START = time.monotonic()


def free_port(ip):
    with socket.socket() as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.bind((ip, 0))
        return s.getsockname()[1]


class Record:
    """record.txt: what was sent, answered and run, with the time in seconds."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - START:9.3f} {text}\n")
        self.file.flush()


# ---------------------------------------------------------------- HTTP


async def read_head(reader):
    """Returns the first line and the headers (lower case), or None at the end."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def http_answer(status, body=b"", headers=(), reason="X"):
    text = f"HTTP/1.1 {status} {reason}\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    text += f"Content-Length: {len(body)}\r\n\r\n"
    return text.encode() + body


# ---------------------------------------------------------------- store


class Store:
    """The platform's metadata store, read by VMs, written by the test."""

    def __init__(self, ip=None):
        self.ip = ip or f"127.{NET}.0.1"
        self.items = {}  # key -> (value or None, revision, created)
        self.revision = 100
        self.oldest = 0
        self.era = 0
        self.changed = asyncio.Event()
        self.writers = set()
        self.mode = "ok"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{self.port}"

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        old = self.items.get(key)
        created = old[2] if old and old[0] is not None else self.revision
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.items[key] = (value, self.revision, created)
        self.wake()

    def remove(self, key):
        self.revision += 1
        self.items[key] = (None, self.revision, 0)
        self.wake()

    def copy(self):
        return dict(self.items), self.revision

    def restore(self, copy):
        """Comes back from an older copy: all connections end, the era rises."""
        self.items, self.revision = dict(copy[0]), copy[1]
        self.era += 1
        for writer in list(self.writers):
            writer.transport.abort()
        self.wake()

    def item(self, key):
        value, revision, created = self.items[key]
        if value is None:
            return {"key": key, "revision": revision, "removed": True}
        return {"key": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "created-rev": created, "lease": 0}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                await read_body(reader, headers)
                target = line.split(" ")[1]
                path, _, query = target.partition("?")
                args = {}
                for part in query.split("&"):
                    name, _, value = part.partition("=")
                    args[name] = re.sub("%(..)", lambda m: chr(int(m[1], 16)), value)
                status, body = await self.answer(path, args)
                headers = [("Content-Type", "application/json")]
                if self.era:
                    headers.append(("Store-Era", self.era))
                writer.write(http_answer(status, json.dumps(body).encode(), headers))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, path, args):
        if path.endswith("/kv-key"):
            found = self.items.get(args.get("key", ""))
            if not found or found[0] is None:
                return 404, {"store-revision": self.revision}
            return 200, dict(self.item(args["key"]), **{"store-revision": self.revision})
        if path.endswith("/kv-range"):
            keys = sorted(k for k, v in self.items.items()
                          if v[0] is not None and k.startswith(args.get("prefix", ""))
                          and k > args.get("after", ""))
            page = keys[:500]
            return 200, {"items": [self.item(k) for k in page],
                         "truncated": len(page) < len(keys),
                         "store-revision": self.revision}
        if path.endswith("/kv-watch"):
            after = int(args.get("after", "0"))
            end = time.monotonic() + min(int(args.get("wait-ms", "0")), 30000) / 1000
            era = self.era
            while True:
                if after > self.revision or after < self.oldest or era != self.era:
                    return 410, {}
                events = [self.item(k) for k, v in self.items.items()
                          if v[1] > after and k.startswith(args.get("prefix", ""))]
                events.sort(key=lambda e: e["revision"])
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "store-revision": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


# ---------------------------------------------------------------- VMs


def render(template, fields):
    def value(match):
        node = fields
        for part in match[1].split("."):
            if isinstance(node, list):
                node = node[int(part)]
            else:
                node = node.get(part, "") if isinstance(node, dict) else ""
        return ",".join(str(v) for v in node) if isinstance(node, list) else str(node)
    return re.sub(r"\{\{([^}]+)\}\}", value, template)


BOUNDS = {"seed-lag-s": 3, "addr-reuse-s": 2, "stable-window-ms": 3000,
          "ack-timeout-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8,
          "lost-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250,
          "max-skew-ms": 5000, "retry-budget-ratio": 0.2, "budget-window-s": 10,
          "budget-slack": 56, "quota-window-s": 8, "quota-overage": 0.25,
          "quota-slack": 190000, "recovery-s": 12, "pass-ms": 120, "retry-after-s": 10}


class Vm:
    def __init__(self, fleet, index, zone):
        self.fleet, self.zone = fleet, zone
        self.name = f"front-{zone}-{index}"
        self.ip = f"127.{NET}.1.{index}"
        self.front = f"{self.ip}:{free_port(self.ip)}"
        self.ready_address = f"{self.ip}:{free_port(self.ip)}"
        self.control = f"{self.ip}:{free_port(self.ip)}"
        self.ports = [free_port(self.ip), free_port(self.ip)]
        self.process = None

    def fields(self):
        f = self.fleet
        return {"node-name": self.name, "zone": self.zone, "ip": self.ip,
                "listen": {"front": self.front, "ready": self.ready_address,
                           "control": self.control},
                "internal-ports": self.ports,
                "seed-nodes": [v.control for v in f.vms[:3]],
                "limits": f.limits, "bounds": f.bounds,
                "platform": {"address": f.store.address}}

    async def start(self):
        deploy = tomllib.load(open(os.path.join(ROOT, "deploy/system.toml"), "rb"))
        role = deploy["roles"]["entry"]
        template = open(os.path.join(ROOT, role["template"])).read()
        path = os.path.join(self.fleet.folder, self.name + ".conf")
        open(path, "w").write(render(template, self.fields()))
        words = [render(w, self.fields()) for w in role["run"].split()]
        words[0] = os.path.join(ROOT, words[0])
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["MAGNOLIATIDE_CONFIG"] = path
        self.log = os.path.join(self.fleet.folder, self.name + ".log")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
            stdout=open(self.log, "ab"), stderr=asyncio.subprocess.STDOUT)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            os.kill(self.process.pid, number)

    def memory_kb(self, field="VmHWM"):
        for line in open(f"/proc/{self.process.pid}/status"):
            if line.startswith(field + ":"):
                return int(line.split()[1])
        return 0

    async def is_ready(self):
        try:
            host, port = self.ready_address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /magnoliatide/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return line.split()[1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class Fleet:
    def __init__(self, zones, limits=None, bounds=None):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.limits = dict({"cpu-share": 0.25, "memory-mb": 260, "max-fds": 4100},
                           **(limits or {}))
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.store = Store()
        self.vms = [Vm(self, i + 1, zone) for i, zone in enumerate(zones)]

    async def start(self):
        await self.store.start()
        await asyncio.gather(*(vm.start() for vm in self.vms))

    async def await_ready(self, timeout=15, vms=None):
        end = time.monotonic() + timeout
        for vm in vms or self.vms:
            while not await vm.is_ready():
                if time.monotonic() > end:
                    return False
                await asyncio.sleep(0.05)
        return True

    def stop(self):
        for vm in self.vms:
            vm.signal(signal.SIGCONT)
            vm.signal(signal.SIGKILL)
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs in", self.folder)


def route(name, prefix, kind, service, timeout=4000, attempts=1, **more):
    item = {"name": name, "host": HOST_NAME, "prefix": prefix, "kind": kind,
            "timeout-ms": timeout, "target-latency-ms": 300, "priority": 1,
            "service": service, "attempts": attempts, "allow-anonymous": False,
            "sticky": kind == "stream"}
    if kind == "stream":
        item.update({"resumable": False, "gap-aim-ms": 300})
    item.update(more)
    return item


def config(version, routes, tenants, services, **limits):
    base = {"max-header-bytes": 16384, "max-body-bytes": 4194304,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
    base.update(limits)
    return {"version": version, "routes": routes, "tenants": tenants,
            "services": [{"name": s, "health-path": "/healthz",
                          "max-connections": 370, "protocol": "h1", "tls": False}
                         for s in services], "limits": base}


def tenant(name, keys, rate=0, burst=0):
    return {"name": name, "api-keys": keys, "priority": 1, "unit": "tokens",
            "plain-tokens": 200, "rate-per-s": rate, "burst": burst}


# ---------------------------------------------------------------- engines


class Engine:
    """A sound engine: answers with its id, the attempt's id and a signature."""

    def __init__(self, fleet, record, index, service, zone, slots=6):
        self.fleet, self.record = fleet, record
        self.id = f"i-{index:08x}"
        self.ip = f"127.{NET}.2.{index}"
        self.service, self.zone, self.slots = service, zone, slots
        self.state, self.sequence = "ready", 0
        self.born = int(time.time() * 1000)
        self.runs = []  # (time, attempt, tenant, path)
        self.work = 0.03
        self.behave = None  # async (engine, line, headers, body, writer) -> bool

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{self.port}"
        self.beat()

    def beat(self):
        self.sequence += 1
        self.fleet.store.put("servers/" + self.id, {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state,
            "warmup-left-ms": 0, "sequence": self.sequence, "born": self.born})

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if self.behave and await self.behave(self, line, headers, body, writer):
                    continue
                await self.answer(line, headers, body, writer)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, line, headers, body, writer):
        attempt = headers.get("attempt-id", "")
        path = line.split(" ")[1]
        if path.startswith("/magnoliatide/") or path == "/healthz":
            writer.write(http_answer(200, b"{}", [("Instance-Id", self.id)]))
            return
        if headers.get("expect-instance", self.id) != self.id:
            writer.write(http_answer(421, b"", [("Instance-Id", self.id)]))
            return
        self.note_run(attempt, headers, path)
        await asyncio.sleep(self.work)
        writer.write(http_answer(200, self.body_of(attempt), self.headers_of(attempt)))
        await writer.drain()

    def note_run(self, attempt, headers, path):
        self.runs.append((time.monotonic(), attempt, headers.get("tenant", ""), path))
        self.record(f"run {attempt} at {self.id} tenant={headers.get('tenant', '-')} {path}")

    def body_of(self, attempt):
        return f"answer of {self.id} to {attempt}\n".encode() * 10

    def headers_of(self, attempt):
        headers = [("Attempt-Id", attempt), ("Engine-Signature", f"sig.{self.id}.{attempt}"),
                   ("Keep-Alive", "timeout=10")]
        if self.state == "draining":
            headers.append(("Server-Leaving", "1"))
        return headers


# ---------------------------------------------------------------- clients

attempts = 0


def new_attempt():
    global attempts
    attempts += 1
    return f"{os.getpid():08x}{attempts:08x}"


async def call(address, path, key, method="POST", body=b"x" * 200, deadline=4000,
               headers=(), timeout=None, attempt=None):
    """Sends one request on a new connection. Returns (status, headers, body);
    status 0: no answer."""
    attempt = attempt or new_attempt()
    host, port = address.split(":")
    text = f"{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: {attempt}\r\n"
    text += f"Deadline-Ms: {deadline}\r\n"
    if key:
        text += f"Authorization: Token {key}\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    text += f"Content-Length: {len(body)}\r\n\r\n"
    writer = None
    try:
        async with asyncio.timeout(timeout or deadline / 1000 + 1):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(text.encode() + body)
            line, answer = await read_head(reader)
            status = int(line.split()[1])
            return status, answer, await read_body(reader, answer), attempt
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as e:
        return 0, {"error": type(e).__name__}, b"", attempt
    finally:
        if writer:
            writer.close()


def run(main):
    """Runs a case: main(record) returns whether the rule held, or None if the
    case could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(folder)
    code = 2
    # A time-out of run.sh ends the processes that were started, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        held = asyncio.run(main(record))
        code = 2 if held is None else 0 if held else 1
    except Exception as error:  # The case could not run.
        record(f"error {type(error).__name__}: {error}")
        print("error", type(error).__name__, error)
        raise
    finally:
        record(f"exit {code}")
        print("exit", code)
        sys.stdout.flush()
    sys.exit(code)


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"
