"""A model engine as the users' pages describe it, for one model: cached parts under a salt, fetches
from another engine, preemption when memory runs out, and orders to change the weights."""
import asyncio
import json

from deployment_3 import read_request, response

STEP_S = 0.1
LOAD_S = 0.57
RETRY_AFTER_S = 2


class Run:
    def __init__(self, engine, fields):
        self.engine = engine
        self.id = fields["x-request-id"]
        self.salt = fields.get("x-cache-salt", "")
        self.priority = int(fields.get("x-request-priority", "5"))
        self.source = fields.get("x-prefix-source", "")
        self.parts = [(it.split(":")[0].strip(), int(it.split(":")[1]))
                      for it in fields["x-prompt-prefix"].split(",")]
        self.tokens_in, self.tokens_out = [int(it) for it in fields["x-token-count"].split(",")]
        self.begun = False
        self.preempted = False
        self.resumed = asyncio.Event()
        self.resumed.set()

    def size(self):
        return self.tokens_in + self.tokens_out


class Engine:
    def __init__(self, name, model, kv_tokens, slots, record, others):
        self.name, self.model, self.kv_tokens, self.slots = name, model, kv_tokens, slots
        self.record, self.others = record, others
        self.version = 1
        self.sequence = 0
        self.busy = False
        # Leaves orders unanswered; they would be carried out late.
        self.leaves_orders = False
        self.runs = []
        # (salt, part) to the version of the weights that made it.
        self.cached = {}
        self.stale_runs = []
        self.port = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self.others["127.0.0.1:%d" % self.port] = self

    def models(self):
        return [{"name": self.model, "version": self.version, "adapters": []}]

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                await self.handle(writer, *request)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, writer, method, target, fields, body):
        echo = [("X-Request-Id", fields.get("x-request-id", "")), ("X-Instance-Id", self.name)]
        if target == "/-/report":
            report = {"stage": "both", "models": self.models(), "busy": self.busy,
                      "sequence": self.sequence, "waiting": 0, "running": len(self.runs),
                      "kvUsed": self.used(), "kvTotal": self.kv_tokens, "handles": 0}
            writer.write(response(200, echo, json.dumps(report).encode()))
        elif fields.get("x-expect-instance", self.name) != self.name:
            writer.write(response(421, echo + [("X-Not-Executed", "1")]))
        elif target == "/-/order":
            await self.order(writer, echo, json.loads(body))
        else:
            await self.run(writer, echo, fields)

    async def order(self, writer, echo, order):
        if self.leaves_orders:
            self.record.write("%s leaves the order for version %d unanswered" % (
                self.name, order["version"]))
            await asyncio.sleep(3)
            return
        if order["version"] == self.version:
            writer.write(response(200, echo))
        elif self.busy or order.get("precondition", self.sequence) != self.sequence:
            writer.write(response(409, echo))
        else:
            self.busy = True
            self.sequence += 1
            self.record.write("%s takes the order for version %d, switchMode %s, from %s" % (
                self.name, order["version"], order["switchMode"], order["holder"]))
            asyncio.get_running_loop().create_task(self.load(order["version"]))
            writer.write(response(202, echo))

    async def load(self, version):
        await asyncio.sleep(LOAD_S)
        self.version = version
        self.cached.clear()
        self.busy = False
        self.record.write("%s has version %d" % (self.name, version))

    def used(self):
        return sum(it.size() for it in self.runs if not it.preempted)

    def make_room(self, wanted):
        """Preempts the newest of the least urgent runs until the wanted one fits."""
        while self.used() + wanted.size() > self.kv_tokens:
            less_urgent = [it for it in self.runs
                           if not it.preempted and it.priority > wanted.priority]
            if not less_urgent:
                return False
            lowest = max(it.priority for it in less_urgent)
            victim = [it for it in less_urgent if it.priority == lowest][-1]
            victim.preempted = True
            victim.resumed.clear()
            self.record.write("%s preempts %s for %s" % (self.name, victim.id, wanted.id))
        return True

    def read_parts(self, run, again):
        """Prefills the prompt: what is cached here or at the named source is not read again."""
        source = self.others.get(run.source)
        source_name = source.name if source is not None else "none"
        reads = []
        for part, _ in run.parts:
            key = (run.salt, part)
            if key not in self.cached and source is not None and key in source.cached:
                self.cached[key] = source.cached[key]
                reads.append("%s from %s (made under version %d)" % (
                    part, source.name, self.cached[key]))
                # The copy keeps the version under which it was made.
            elif key in self.cached:
                reads.append("%s cached (made under version %d)" % (part, self.cached[key]))
            else:
                source = None
                self.cached[key] = self.version
                reads.append("%s prefilled under version %d" % (part, self.version))
            if self.cached[key] != self.version and not again:
                self.stale_runs.append(run.id)
        self.record.write("%s (version %d) %s %s, salt %s, source %s: %s" % (
            self.name, self.version, "reads again" if again else "begins", run.id, run.salt,
            source_name,
            ", ".join(reads)))

    async def run(self, writer, echo, fields):
        run = Run(self, fields)
        expected = fields.get("x-expect-version")
        if expected is not None and int(expected) != self.version:
            writer.write(response(421, echo + [("X-Not-Executed", "1"),
                                               ("X-Weight-Versions", self.version)]))
            return
        if self.busy or len(self.runs) >= self.slots or not self.make_room(run):
            self.record.write("%s is full and turns %s away for %d s" % (
                self.name, run.id, RETRY_AFTER_S))
            writer.write(response(503, echo + [("X-Not-Executed", "1"),
                                               ("Retry-After", RETRY_AFTER_S)]))
            return
        self.runs.append(run)
        try:
            self.read_parts(run, again=False)
            await asyncio.sleep(STEP_S)
            head = "HTTP/1.1 200 OK\r\n" + "".join("%s: %s\r\n" % it for it in echo)
            head += "X-Response-Stamp: stamp-%s\r\nX-Weight-Versions: %d\r\n" % (run.id, self.version)
            head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write(head.encode())
            for n in range(1, run.tokens_out + 1):
                if run.preempted:
                    await run.resumed.wait()
                    self.read_parts(run, again=True)
                event = ("id: %d\ndata: token\n\n" % n).encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(STEP_S)
            writer.write(b"0\r\n\r\n")
        finally:
            self.runs.remove(run)
            self.resume_preempted()

    def resume_preempted(self):
        for it in self.runs:
            if it.preempted and self.used() + it.size() <= self.kv_tokens:
                it.preempted = False
                it.resumed.set()
