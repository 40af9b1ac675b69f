"""Stand-ins of the users' platform, on loopback, for the scripts in review/: the store, engines
(model samplers), plain services and callers, as PROTOCOL.md describes them. Uses only Python's own
library. Each stand-in records what it got and answered."""

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
import urllib.parse

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


class CannotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """The record of one run: what was sent, answered and run, with the time since its start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def write(self, text):
        self.file.write("%8.3f s  %s\n" % (time.monotonic() - self.started, text))
        self.file.flush()


# --- HTTP -----------------------------------------------------------------------------------------


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        path, _, query = target.partition("?")
        self.path = path
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))

    def header(self, name, default=None):
        return next((v for n, v in self.headers if n.lower() == name.lower()), default)


async def read_request(reader):
    """Returns the next request of the connection, None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name, value.strip()))
    request = Request(method, target, headers, b"")
    try:
        if (request.header("Transfer-Encoding") or "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                request.body += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    break
        else:
            request.body = await reader.readexactly(int(request.header("Content-Length") or 0))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return request


def format_response(status, body=b"", headers=()):
    lines = ["HTTP/1.1 %d X" % status]
    lines += ["%s: %s" % h for h in headers]
    lines += ["Content-Length: %d" % len(body), "", ""]
    return "\r\n".join(lines).encode() + body


class Server:
    """An HTTP server. handle(request, writer) writes the whole answer; False closes the channel."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.address = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 24)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if not request or await self.handle(request, writer) is False:
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(address, method, target, headers=(), body=b"", timeout=5.0):
    """Sends one request on a new channel. Returns (status, headers, body); status 0: no answer."""
    host, port = address.split(":")
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port), limit=1 << 24), timeout)
        lines = ["%s %s HTTP/1.1" % (method, target)] + ["%s: %s" % h for h in headers]
        lines += ["Content-Length: %d" % len(body), "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        return await asyncio.wait_for(read_response(reader), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, [], b""
    finally:
        if writer:
            writer.close()


async def read_response(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split(" ")[1])
    headers = [(n, v.strip()) for n, _, v in (line.partition(":") for line in head[1:] if line)]
    fields = {n.lower(): v for n, v in headers}
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return status, headers, body
    return status, headers, await reader.readexactly(int(fields.get("content-length", 0)))


# --- the store ------------------------------------------------------------------------------------


class Store:
    """The platform's metadata store: rows, transactions, feeds and objects; loses nothing."""

    def __init__(self):
        self.rows = {}  # (table, part, key) -> (value in base64, version)
        self.log = []  # (version, (table, part, key)) of each change
        self.objects = {}
        self.version = 0
        self.started = time.monotonic()
        self.changed = asyncio.Condition()
        self.server = Server(self.handle)
        self.before_call = None  # may delay a call, for disruptions: async function of a Request

    async def put(self, table, key, value, part=""):
        """Writes a row as the operator or a sampler would; value None removes it."""
        self.version += 1
        self.apply((table, part, key), value and base64.b64encode(json.dumps(value).encode()).decode())
        await self.wake()

    def apply(self, key, value):
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = (value, self.version)
        self.log.append((self.version, key))

    async def wake(self):
        async with self.changed:
            self.changed.notify_all()

    def row(self, key):
        value, version = self.rows.get(key, (None, 0))
        row = {"table": key[0], "part": key[1], "key": key[2], "ver": version}
        if value is not None:
            row["value"] = value
        return row

    def reply(self, writer, status, fields):
        fields = dict(fields, ver=self.version, nowMs=int((time.monotonic() - self.started) * 1000) + 1)
        writer.write(format_response(status, json.dumps(fields).encode(),
                                     [("Content-Type", "application/json")]))

    async def handle(self, request, writer):
        if self.before_call:
            await self.before_call(request)
        name = request.path
        if name == "/-/rows-tx":
            await self.transact(json.loads(request.body), writer)
        elif name == "/-/rows-get":
            self.get_rows(request.query, writer)
        elif name == "/-/rows-feed":
            await self.feed(request.query, writer)
        elif name == "/-/rows-parts":
            parts = sorted({k[1] for k in self.rows if k[0] == request.query["table"]})
            self.reply(writer, 200, {"parts": parts[:1000]})
        elif name.startswith("/-/blob-"):
            self.blob(request, writer)
        else:
            self.reply(writer, 400, {})
        await writer.drain()

    async def transact(self, call, writer):
        expected = [((e["table"], e.get("part", ""), e["key"]), e["ver"]) for e in call.get("expected", [])]
        if any(self.rows.get(key, (None, 0))[1] != version for key, version in expected):
            self.reply(writer, 412, {"rows": [self.row(key) for key, _ in expected]})
            return
        self.version += 1
        for entry in call.get("writes", []):
            self.apply((entry["table"], entry.get("part", ""), entry["key"]), entry["value"])
        for entry in call.get("remove", []):
            self.apply((entry["table"], entry.get("part", ""), entry["key"]), None)
        self.reply(writer, 200, {})
        await self.wake()

    def get_rows(self, query, writer):
        low, high = query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit") or 500), 500)
        keys = sorted(k for k in self.rows
                      if k[0] == query["table"] and k[1] == query.get("part", "")
                      and k[2] >= low and (not high or k[2] < high))
        self.reply(writer, 200, {"rows": [self.row(k) for k in keys[:limit]],
                                 "morePages": len(keys) > limit})

    async def feed(self, query, writer):
        table, after = query["table"], int(query.get("after", 0))
        deadline = time.monotonic() + min(int(query.get("waitMs") or 0), 30000) / 1000
        while True:
            keys = {k: v for v, k in self.log if v > after and k[0] == table}
            left = deadline - time.monotonic()
            if keys or left <= 0:
                break
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        rows = []
        for key, version in sorted(keys.items(), key=lambda item: item[1]):
            row = self.row(key)
            rows.append(row if "value" in row else dict(row, ver=version, deleted=True))
        self.reply(writer, 200, {"rows": rows})

    def blob(self, request, writer):
        operation, _, rest = request.path[len("/-/blob-"):].partition("/")
        if operation == "put":
            if request.header("If-None-Match") == "*" and rest in self.objects:
                self.reply(writer, 412, {})
                return
            self.objects[rest] = request.body
            self.reply(writer, 200, {})
        elif operation == "get" and rest in self.objects:
            writer.write(format_response(200, self.objects[rest]))
        elif operation == "drop" and self.objects.pop(rest, None) is not None:
            self.reply(writer, 200, {})
        elif operation == "list":
            prefix = request.query.get("prefix", "")
            names = sorted(n for n in self.objects if n.startswith(prefix))
            self.reply(writer, 200, {"names": names[:1000], "morePages": len(names) > 1000})
        else:
            self.reply(writer, 404, {})


# --- samplers -------------------------------------------------------------------------------------


class Sampler:
    """A sampler: with a model an engine, which streams events, else a plain service. It registers
    itself and writes there each heartbeat."""

    def __init__(self, store, record, name, service, model=None, events=6, interval=0.03, work=0.02,
                 framed=True):
        self.framed = framed  # False: an answer has no length and ends with its channel
        self.crashed = False
        self.store, self.record = store, record
        self.name, self.service, self.model = name, service, model
        self.events, self.interval, self.work = events, interval, work
        self.server = Server(self.handle)
        self.version, self.loading, self.orders, self.fence, self.sequence = 1, None, 0, 0, 0
        self.running = 0
        self.runs = []  # (time, Attempt-Id, path) of each request that began to run
        self.answer = None  # own answer of a plain service: function of a Request, status
        self.beat = None

    async def start(self):
        await self.server.start()
        await self.register()
        self.beat = asyncio.create_task(self.keep_registered())

    async def register(self, state="ready"):
        self.sequence += 1
        models = [{"name": self.model, "version": self.version, "adapters": []}] if self.model else []
        entry = {"service": self.service, "address": self.server.address, "zone": "hall-a",
                 "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0, "seq": self.sequence}
        if self.model:
            entry.update(stage="prefill_decode", models=models)
        await self.store.put("servers", self.name, entry)

    async def keep_registered(self):
        while True:
            await asyncio.sleep(1.2)
            await self.register()

    async def handle(self, request, writer):
        expected = request.header("Expect-Instance")
        identity = request.header("Attempt-Id") or ""
        if expected and expected != self.name:
            writer.write(format_response(421, b"", [("Instance-Id", self.name)]))
        elif self.model and request.header("Expect-Version", str(self.version)) != str(self.version):
            self.record.write("%s has version %d and refuses %s (421)" % (self.name, self.version, identity))
            writer.write(format_response(421, b"", [("Instance-Id", self.name), ("Attempt-Id", identity),
                                                    ("Weight-Versions", str(self.version))]))
        elif request.path == "/health":
            writer.write(format_response(200, b"", self.load() + [("Instance-Id", self.name)]))
        elif request.path == "/-/report":
            models = [{"name": self.model, "version": self.version, "adapters": []}] if self.model else []
            report = {"stage": "prefill_decode", "models": models, "busy": self.loading is not None,
                      "seq": self.orders, "waiting": 0, "running": self.running, "kvUsed": 0,
                      "kvTotal": 90000, "handles": 0}
            writer.write(format_response(200, json.dumps(report).encode(),
                                         [("Content-Type", "application/json")]))
        elif request.path == "/-/order":
            writer.write(format_response(self.take_order(json.loads(request.body))))
        elif self.loading is not None or self.running >= 8:
            writer.write(format_response(503, b"", self.load() + [("Not-Run", "1"),
                                                                  ("Attempt-Id", identity)]))
        else:
            self.runs.append((time.monotonic(), identity, request.target))
            self.record.write("%s of %s runs %s %s" % (self.name, self.service, identity, request.target))
            self.running += 1
            try:
                await (self.stream(request, identity, writer) if self.model
                       else self.serve(request, identity, writer))
            finally:
                self.running -= 1
        await writer.drain()

    def load(self):
        return [("Server-Load", "%d,0,8" % self.running)]

    def take_order(self, order):
        if order.get("fence", 0) < self.fence:
            return 412
        if order["version"] == self.version and self.loading is None:
            return 200
        if self.loading is not None or order.get("expected", self.orders) != self.orders:
            return 409
        self.fence, self.orders, self.loading = order["fence"], self.orders + 1, order["version"]
        asyncio.get_running_loop().call_later(0.9, self.end_load)
        return 202

    def end_load(self):
        self.version, self.loading = self.loading, None

    async def serve(self, request, identity, writer):
        await asyncio.sleep(self.work)
        status = self.answer(request) if self.answer else 200
        body = b"answer to %s" % identity.encode()
        writer.write(format_response(status, body, self.load() + [
            ("Attempt-Id", identity), ("Server-Stamp", "stamp-" + identity)]))
        self.record.write("%s answers %d to %s" % (self.name, status, identity))

    async def stream(self, request, identity, writer):
        after = int(request.header("Last-Event-Id") or 0)
        headers = self.load() + [("Attempt-Id", identity), ("Server-Stamp", "stamp-" + identity),
                                 ("Content-Type", "text/event-stream"),
                                 ("Weight-Versions", str(self.version))]
        if self.framed:
            headers.append(("Transfer-Encoding", "chunked"))
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join("%s: %s\r\n" % h for h in headers) + "\r\n").encode())
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.interval)
            event = ("id: %d\ndata: %s.%d\n\n" % (number, identity, number)).encode()
            if self.crashed:
                event = event[:len(event) // 2]
            writer.write(b"%x\r\n%s\r\n" % (len(event), event) if self.framed else event)
            await writer.drain()
            if self.crashed:
                self.record.write("%s ends in the middle of event %d of %s" % (self.name, number, identity))
                raise ConnectionError
        if not self.framed:
            raise ConnectionError  # the end of the channel is the end of the answer
        writer.write(b"0\r\n\r\n")

    async def crash(self):
        """The process ends: it listens no more, its streams end in the middle of an event, and it says nothing more."""
        self.record.write("%s crashes" % self.name)
        self.beat.cancel()
        self.server.server.close()
        self.crashed = True
        await asyncio.sleep(3 * 1.2)
        await self.store.put("servers", self.name, None)

    def close(self):
        if self.beat:
            self.beat.cancel()
        self.server.close()


# --- the project's own program --------------------------------------------------------------------


def lookup(fields, name, here):
    if name == ".":
        return here
    for scope in ([here] if isinstance(here, dict) else []) + [fields]:
        value = scope
        for step in name.split("."):
            if isinstance(value, list) and step.isdigit() and int(step) < len(value):
                value = value[int(step)]
            elif isinstance(value, dict) and step in value:
                value = value[step]
            else:
                break
        else:
            return value
    return None


def fill_template(text, fields, here=None):
    """Fills the settings template in as DEPLOY.md describes it."""

    def section(match):
        value = lookup(fields, match.group(2), here)
        holds = value is not None and value is not False
        if match.group(1) == "^":
            return fill_template(match.group(3), fields, here) if not holds else ""
        entries = value if isinstance(value, list) else ([value] if holds else [])
        return "".join(fill_template(match.group(3), fields, entry)
                       .replace("{{,}}", "," if i + 1 < len(entries) else "")
                       for i, entry in enumerate(entries))

    text = re.sub(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)

    def value(match):
        found = lookup(fields, match.group(1), here)
        if found is None:
            return ""
        return str(found).lower() if isinstance(found, bool) else str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    try:
        for s in sockets:
            s.bind(("127.0.0.1", 0))
        return [s.getsockname()[1] for s in sockets]
    finally:
        for s in sockets:
            s.close()


def read_role():
    """Returns the fields of the only role in the deploy file that are text."""
    with open(os.path.join(REPOSITORY, "deploy/system.toml"), encoding="utf-8") as file:
        section = file.read().partition("[roles.entry]")[2]
    return dict(re.findall(r'^(\w+) = "([^"]*)"', section, flags=re.M))


class Node:
    """A machine with one process of the project, started by the commands of the deploy file."""

    def __init__(self, folder, name, store, zone="hall-a"):
        self.name, self.zone, self.store, self.folder = name, zone, store, folder
        self.log = os.path.join(folder, name + ".log")
        self.process = None
        self.write_settings()

    def write_settings(self):
        """Fills the settings in, with ports that are free at this moment."""
        role = read_role()
        front, ready, directory, peer, metrics = free_ports(5)
        # BOUNDS and limits are those of the site dll-lanka; all addresses are loopback addresses.
        fields = {
            "node": self.name, "zone": self.zone, "ip": "127.0.0.1", "portRange": [peer, metrics],
            "listen": {"front": "127.0.0.1:%d" % front, "ready": "127.0.0.1:%d" % ready,
                       "directory": "127.0.0.1:%d" % directory},
            "limits": {"cpuShare": 0.5, "linkMbps": 1000.0},
            "platform": {"address": self.store.server.address},
            "bounds": {"drainMs": 2000, "statusS": 120, "checksFence": True},
        }
        self.front, self.ready = fields["listen"]["front"], fields["listen"]["ready"]
        self.settings = os.path.join(self.folder, self.name + ".json")
        with open(os.path.join(REPOSITORY, role["template"]), encoding="utf-8") as file:
            text = fill_template(file.read(), fields)
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        words = role["run"].split(" ")
        self.command = [os.path.join(REPOSITORY, words[0])]
        self.command += [self.settings if w == "/etc/lentilspindle/boot.yaml" else w for w in words[1:]]

    async def start(self):
        if not os.access(self.command[0], os.X_OK):
            raise CannotRun("the program of the deploy file is not built")
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, cwd=REPOSITORY, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/")})

    async def wait_until_ready(self, seconds=10):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if self.process.returncode is not None:  # another process took one of the ports meanwhile
                self.write_settings()
                await self.start()
            status, _, _ = await call(self.ready, "GET", "/-/readiness", [("Host", "ready")], timeout=1)
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun("%s does not become ready" % self.name)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if not self.process:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()


class World:
    """The store, the samplers and the nodes of one run, all ended at its end."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.store = Store()
        self.samplers, self.nodes = [], []

    async def add_sampler(self, *arguments, **options):
        sampler = Sampler(self.store, self.record, *arguments, **options)
        self.samplers.append(sampler)
        await sampler.start()
        return sampler

    async def add_nodes(self, count):
        for i in range(count):
            self.nodes.append(Node(self.temporary.name, "front-hall-a-%d" % (i + 1), self.store))
        for node in self.nodes:
            await node.start()
        for node in self.nodes:
            await node.wait_until_ready()

    async def name_desired(self, desired):
        await self.store.put("op", "config", desired)
        self.record.write("desired state %d is acknowledged: %s"
                          % (desired["version"], json.dumps(desired["routes"])))

    async def submit(self, node, host, path, identity, body):
        status, _, _ = await call(node.front, "POST", path,
                                  [("Host", host), ("Attempt-Id", identity),
                                   ("Content-Type", "application/json")], json.dumps(body).encode())
        self.record.write("batch submission %s is answered %d" % (identity, status))
        return status

    async def read_results(self, node, host, identity, seconds, total):
        """Reads until all results are listed or the time is up. Returns those read."""
        results, deadline = [], time.monotonic() + seconds
        while len(results) < total and time.monotonic() < deadline:
            status, _, body = await call(node.front, "GET", "/-/lots/%s?after=%d" % (identity, len(results)),
                                         [("Host", host), ("Wait-Ms", "1000")])
            if status == 200:
                results += json.loads(body)["results"]
            if status != 200 or not json.loads(body)["results"]:
                await asyncio.sleep(0.3)
        for result in results:
            self.record.write("read of %s: %s" % (identity, json.dumps(result)))
        return results

    async def close(self):
        for node in self.nodes:
            await node.end()
        for sampler in self.samplers:
            sampler.close()
        self.store.server.close()
        keep = os.environ.get("REVIEW_KEEP_LOGS")
        if keep:
            shutil.copytree(self.temporary.name, keep, dirs_exist_ok=True)
        self.temporary.cleanup()


def run_case(folder, play, seconds=110):
    """Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
    play(world, trouble) returns the list of breaks."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        world = World(folder)
        # A script that is told to stop ends its processes, too.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            await world.store.server.start()
            breaks = await asyncio.wait_for(play(world, trouble), seconds)
            for text in breaks:
                world.record.write("BROKEN: " + text)
            world.record.write("the rule was broken" if breaks else "the rule held")
            for text in breaks[:5]:
                print("BROKEN: " + text)
            print("%d breaks, TROUBLE=%d" % (len(breaks), trouble))
            return 1 if breaks else 0
        except Exception as error:  # whatever went wrong says nothing about the rule
            world.record.write("the case could not run: %r" % error)
            print("the case could not run: %r" % error)
            return 2
        except asyncio.CancelledError:
            return 2
        finally:
            await world.close()

    sys.exit(asyncio.run(main()))
