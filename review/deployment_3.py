"""Stand-ins for the cases 11 to 15: the platform's log store, and helpers that start gateways with
the command and the settings template of the deploy file. Standard library only, loopback only."""
import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
MAX_RUN_S = 108
# Exit codes of run.py. The one of an exception differs from BROKEN; run.sh turns them into those of a
# case.
PASSED, BROKEN, COULD_NOT_RUN = 0, 10, 2


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as it:
        it.bind(("127.0.0.1", 0))
        return it.getsockname()[1]


class Record:
    """What was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def write(self, text):
        line = "%8.3f %s" % (time.monotonic() - self.began, text)
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


async def read_head(reader):
    """The start line and the header fields of a message, or None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    start, fields = head
    method, target, _ = start.split(" ", 2)
    body = b""
    if int(fields.get("content-length", "0")) > 0:
        body = await reader.readexactly(int(fields["content-length"]))
    return method, target, fields, body


def response(status, fields=(), body=b""):
    out = "HTTP/1.1 %d %s\r\n" % (status, {200: "OK", 503: "Service Unavailable"}.get(status, "-"))
    for name, value in fields:
        out += "%s: %s\r\n" % (name, value)
    out += "Content-Length: %d\r\n\r\n" % len(body)
    return out.encode() + body


class Store:
    """The platform's store: topics of one partition, kept in memory."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Condition()
        self.port = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return "127.0.0.1:%d" % self.port

    async def put(self, topic, key, value):
        raw = bytes([len(key)]) + key.encode() + (json.dumps(value).encode() if value is not None else b"")
        async with self.changed:
            self.topics.setdefault(topic, []).append(raw)
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                writer.write(await self.answer(*request))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, fields, body):
        path, _, query = target.partition("?")
        args = dict(it.split("=", 1) for it in query.split("&") if "=" in it)
        records = self.topics.setdefault(args.get("topic", ""), [])
        if path == "/-/log-append":
            await asyncio.sleep(0.004)
            async with self.changed:
                if "at" in args and int(args["at"]) != len(records):
                    return response(412, body=json.dumps({"end": len(records)}).encode())
                offset = len(records)
                while body:
                    size = int.from_bytes(body[:4], "big")
                    records.append(body[4:4 + size])
                    body = body[4 + size:]
                self.changed.notify_all()
            return response(200, body=json.dumps({"offset": offset, "end": len(records)}).encode())
        if path == "/-/log-read":
            begin = int(args.get("from", "0"))
            ends_at = time.monotonic() + int(args.get("waitMs", "0")) / 1000
            while len(records) <= begin and time.monotonic() < ends_at:
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), ends_at - time.monotonic())
                    except asyncio.TimeoutError:
                        pass
            out = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big")
            for it in records[begin:]:
                out += len(it).to_bytes(4, "big") + it
            return response(200, body=out)
        if path == "/-/log-newest":
            newest = {}
            for offset, it in enumerate(records):
                key = it[1:1 + it[0]].decode()
                value = it[1 + it[0]:]
                newest.pop(key, None)
                if value:
                    newest[key] = (offset, value)
            items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (offset, value) in sorted(newest.items())]
            return response(200, body=json.dumps(
                {"items": items, "more": False, "end": len(records)}).encode())
        return response(404)

    async def announce(self, entries, interval=1.2):
        """Writes the entries of upstreams at each heartbeat. `entries` maps ids to entries; an
        entry that is gone from it is removed from the list after three silent heartbeats."""
        sequence = 0
        last_written = {}
        while True:
            sequence += 1
            for key, entry in list(entries.items()):
                await self.put("keyed.servers", key, dict(entry, sequence=sequence))
                last_written[key] = time.monotonic()
            for key, at in list(last_written.items()):
                if key not in entries and time.monotonic() - at > 3 * interval:
                    del last_written[key]
                    await self.put("keyed.servers", key, None)
            await asyncio.sleep(interval)


def entry(service, port, zone="here", models=None, slots=8):
    out = {"service": service, "address": "127.0.0.1:%d" % port, "zone": zone, "version": "v1",
           "slots": slots, "state": "ready", "coldLeftMs": 0, "born": int(time.time() * 1000)}
    if models:
        out.update(stage="both", models=models)
    return out


LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
          "idleTimeoutMs": 15000}

BOUNDS = {"graceS": 8, "leaseMs": 3000, "versionMs": 8000, "drainMs": 2000,
          "retryBudgetRatio": 0.2, "retrySlack": 52, "retryWindowS": 10, "quotaWindowS": 8,
          "quotaSlack": 110000}


class Gateway:
    """A gateway as the deploy file starts it, on an edge machine of its own."""

    def __init__(self, name, store, zone="here", bounds=None, memory_mb=110):
        self.name = name
        self.http = free_port()
        self.ready = free_port()
        values = {"nodeName": name, "zone": zone, "ip": "127.0.0.1",
                  "listen.frontend": "127.0.0.1:%d" % self.http,
                  "listen.readiness": "127.0.0.1:%d" % self.ready,
                  "internalPorts.0": str(free_port(socket.SOCK_DGRAM)),
                  "internalPorts.1": str(free_port()),
                  "platform.address": store.address,
                  "limits.linkMbps": "1000", "limits.memoryMb": str(memory_mb)}
        for key, value in dict(BOUNDS, **(bounds or {})).items():
            values["bounds." + key] = str(value)

        def fill(text):
            return re.sub(r"\{\{([^}]*)\}\}", lambda it: values[it.group(1)], text)

        values["bootstrap"] = "true"
        deploy = open(os.path.join(ROOT, "deploy", "system.toml")).read()
        self.command = fill(re.search(r'^run = "(.*)"', deploy, re.M).group(1)).split()
        template = re.search(r'^template = "(.*)"', deploy, re.M).group(1)
        self.folder = tempfile.mkdtemp(prefix="savorymount-case-")
        self.settings = os.path.join(self.folder, "node.settings")
        text = open(os.path.join(ROOT, template)).read()
        self.first_settings = fill(text)
        values["bootstrap"] = "false"
        self.later_settings = fill(text)
        self.process = None
        self.starts = 0

    def start(self):
        with open(self.settings, "w") as it:
            it.write(self.first_settings if self.starts == 0 else self.later_settings)
        self.starts += 1
        environment = {it: os.environ[it] for it in ("PATH", "HOME", "LANG") if it in os.environ}
        environment["SAVORYMOUNT_SETTINGS"] = self.settings
        self.log = open(os.path.join(self.folder, "log"), "a")
        self.process = subprocess.Popen(self.command, cwd=ROOT, env=environment, stdout=self.log,
                                        stderr=self.log)

    async def wait_ready(self, seconds=15):
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if head and " 200 " in head[0]:
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.1)
        return False

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()
        self.process = None
        self.log.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """What a client got: the status, the header fields, the body, and whether the body was whole
    by the framing of its message."""

    def __init__(self, status=0, fields=None, body=b"", whole=False):
        self.status, self.fields, self.body, self.whole = status, fields or {}, body, whole


async def read_answer(reader):
    head = await read_head(reader)
    if head is None:
        return Answer()
    out = Answer(int(head[0].split(" ")[1]), head[1])
    try:
        if "content-length" in out.fields:
            size = int(out.fields["content-length"])
            while len(out.body) < size:
                bytes_ = await reader.read(size - len(out.body))
                if not bytes_:
                    return out
                out.body += bytes_
            out.whole = True
        elif out.fields.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if size == 0:
                    await reader.readuntil(b"\r\n")
                    out.whole = True
                    return out
                out.body += (await reader.readexactly(size + 2))[:-2]
    except asyncio.IncompleteReadError as ec:
        out.body += ec.partial
    except ConnectionError:
        pass
    return out


def request_bytes(method, target, host, request_id, key=None, fields=(), body=b"", deadline_ms=5000):
    out = "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n" % (
        method, target, host, request_id, deadline_ms)
    if key is not None:
        out += "Authorization: Bearer %s\r\n" % key
    for name, value in fields:
        out += "%s: %s\r\n" % (name, value)
    if body or method != "GET":
        out += "Content-Length: %d\r\n" % len(body)
    return out.encode() + b"\r\n" + body


async def call(port, message, seconds=10):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(message)
        return await asyncio.wait_for(read_answer(reader), seconds)
    except (asyncio.TimeoutError, ConnectionError):
        return Answer()
    finally:
        writer.close()


def stand_in(name, *arguments):
    """Starts a stand-in beside this file as a process of its own; its output is a pipe."""
    path = os.path.join(os.path.dirname(os.path.abspath(__file__)), name)
    return subprocess.Popen(["python3", "-B", "-u", path, *map(str, arguments)], stdout=subprocess.PIPE,
                            text=True)


def run_case(main):
    """Runs a case as run.sh says in its arguments: "0" for no disruption, and the file of the record.
    It ends within the time that a script has; the processes that it started end also if it is stopped
    before."""

    async def guarded():
        task = asyncio.create_task(main(Record(sys.argv[2]), sys.argv[1] != "0"))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await asyncio.wait_for(task, MAX_RUN_S)

    try:
        sys.exit(asyncio.run(guarded()))
    except (asyncio.CancelledError, asyncio.TimeoutError):
        sys.exit(COULD_NOT_RUN)
