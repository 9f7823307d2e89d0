"""A part that was made under newer weights is fetched for a request on older ones. See claim.txt."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from deployment_3 import *  # noqa: E402
from model_engine_3 import Engine  # noqa: E402

MODEL = "daka510000"
KV_TOKENS = 20000
URGENT_KEY, USUAL_KEY = "wu3fexd9dnn2ctnfzs98", "bo7qpal2mmx4kdrwye31"
CONFIGURATION = {
    "version": 3,
    "routes": [{"name": "ask", "host": "model.example", "pathPrefix": "/ask/", "kind": "streaming",
                "timeoutMs": 20000, "targetLatencyMs": 800, "priority": 2, "service": "model-bench",
                "maxAttempts": 2, "public": False, "sticky": True, "resumable": True,
                "gapAimMs": 400}],
    "services": [{"name": "model-bench", "healthPath": "/health", "maxConns": 290,
                  "engine": {"slots": 8, "kvTokens": KV_TOKENS, "kvTokenBytes": 163840,
                             "linkMbps": 550000.0, "models": [{"name": MODEL}]}}],
    "limits": LIMITS,
    "tenants": [{"name": "hotel", "apiKeys": [URGENT_KEY], "ratePerS": 0, "burst": 0, "priority": 0},
                {"name": "museum", "apiKeys": [USUAL_KEY], "ratePerS": 0, "burst": 0,
                 "priority": 5}]}


ENGINES = 5


async def main(record, trouble):
    store = Store()
    await store.start()
    await store.put("keyed.op", "config", CONFIGURATION)
    await store.put("keyed.op", "version/" + MODEL, {"model": MODEL, "version": 1})
    others = {}
    engines = [Engine("i-%d" % n, MODEL, KV_TOKENS, 8, record, others) for n in range(ENGINES)]
    holder = engines[-1]
    entries = {}
    born = {}
    for it in engines:
        await it.start()
        born[it.name] = entry("model-bench", it.port, models=it.models())

    def refresh():
        for it in engines:
            entries[it.name] = dict(born[it.name], models=it.models())

    async def heartbeat():
        while True:
            refresh()
            await asyncio.sleep(0.2)

    refresh()
    tasks = [asyncio.create_task(heartbeat()), asyncio.create_task(store.announce(entries))]
    gateway = Gateway("edge-1", store)
    calls = {}

    def ask(request_id, key, parts, tokens_out):
        tokens_in = sum(it[1] for it in parts)
        record.write("client sends %s: %s, %d tokens out" % (
            request_id, ",".join("%s:%d" % it for it in parts), tokens_out))
        calls[request_id] = asyncio.create_task(call(gateway.http, request_bytes(
            "POST", "/ask/it", "model.example", request_id, key,
            [("X-Model", MODEL), ("X-Token-Count", "%d,%d" % (tokens_in, tokens_out)),
             ("X-Prompt-Prefix", ",".join("%s:%d" % it for it in parts))], b"{}", 20000), 25))

    def runs_at(engine, request_id):
        return any(it.id == request_id for it in engine.runs)

    async def find_shared_part():
        """A shared part for which the gateway prefers the last engine."""
        for n in range(40):
            part = "a%02x" % n
            ask("probe-%d" % n, USUAL_KEY, [(part, 6000), ("f%02x" % n, 10)], 1)
            await asyncio.sleep(0.08)
            if runs_at(holder, "probe-%d" % n):
                await calls["probe-%d" % n]
                return part
        return None

    try:
        gateway.start()
        if not await gateway.wait_ready():
            return COULD_NOT_RUN
        await asyncio.sleep(2)
        shared = await find_shared_part()
        if shared is None:
            return COULD_NOT_RUN
        await asyncio.sleep(0.5)
        ask("first", USUAL_KEY, [(shared, 6000), ("e11", 2200)], 100)
        await asyncio.sleep(0.3)
        # The other engines are a little busier, so that the last one gets the new weights first.
        small = 0
        for count in (2 * (ENGINES - 1), ENGINES - 1):
            for _ in range(count):
                small += 1
                ask("small-%d" % small, USUAL_KEY, [("d%02x" % small, 100)], 70)
                await asyncio.sleep(0.15)
            if count > ENGINES:
                ask("second", URGENT_KEY, [("b22", 2000)], 20)
                await asyncio.sleep(0.15)
        if not runs_at(holder, "first") or not runs_at(holder, "second"):
            return COULD_NOT_RUN
        if trouble:
            record.write("the operator names version 2")
            await store.put("keyed.op", "version/" + MODEL, {"model": MODEL, "version": 2})
        await asyncio.sleep(1.0)
        ask("third", URGENT_KEY, [("c33", 10100)], 30)
        await asyncio.sleep(0.7)
        ask("fourth", USUAL_KEY, [(shared, 6000), ("e44", 300)], 5)
        ids = ("first", "second", "third", "fourth")
        answers = await asyncio.gather(*(calls[it] for it in ids))
        for request_id, it in zip(ids, answers):
            record.write("client gets %d for %s, %d events, %s" % (
                it.status, request_id, it.body.count(b"id: "),
                "complete" if it.whole else "cut off"))
        stale = [(it.name, run) for it in engines for run in it.stale_runs]
        for name, run in stale:
            record.write("STALE: %s ran %s on cached parts of another version" % (name, run))
        if stale:
            return BROKEN
        return PASSED if all(it.status == 200 for it in answers) else COULD_NOT_RUN
    finally:
        for it in tasks:
            it.cancel()
        gateway.end()


if __name__ == "__main__":
    run_case(main)
