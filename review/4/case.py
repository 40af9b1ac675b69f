"""An engine whose answers have no length crashes in the middle of its events."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))

from standins import CannotRun, run_case  # noqa: E402

HOST = "ficu95.example"
MODEL = "daka510000"
BATCH = "7c41e09b52d6a001"
N_ENGINES = 6
N_EVENTS = 20
N_ITEMS = 64
DESIRED = {
    "version": 3,
    "routes": [{"name": "steps", "host": HOST, "prefix": "/steps/", "kind": "weight_rollout",
                "timeoutMs": 10000, "goalMs": 400, "dueMs": 7500, "maxQueueS": 60, "priority": 1,
                "service": "engines", "attempts": 3}],
    "services": [{"name": "engines", "healthPath": "/health", "maxConns": 140, "protocol": "h1", "tls": False,
                  "engine": {"slots": 8, "kvTokens": 44538, "stride": 1, "models": [{"name": MODEL}]}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000},
}


def make_batch():
    return {"step": 1, "model": MODEL, "minVersion": 1, "targetGroups": N_ITEMS // 8,
            "requests": [{"id": "e5b2907c14da%04x" % i, "path": "/steps/1/%x" % i,
                          "headers": {"Model": MODEL, "Token-Counts": "40,60"}, "body": "q83vEjRWeJA=",
                          "tokens": 100, "group": "g%d" % (i // 8)} for i in range(N_ITEMS)]}


async def play(world, trouble):
    engines = [await world.add_sampler("i-engine-%d" % i, "engines", MODEL, events=N_EVENTS, interval=0.1,
                                       framed=False) for i in range(N_ENGINES)]
    await world.name_desired(DESIRED)
    await world.add_nodes(3)
    await asyncio.sleep(3)
    if await world.submit(world.nodes[0], HOST, "/steps/1", BATCH, make_batch()) != 202:
        raise CannotRun("the batch submission is not accepted")
    await asyncio.sleep(1)
    busiest = max(engines, key=lambda engine: engine.running)
    if busiest.running == 0:
        raise CannotRun("no item runs")
    crash = asyncio.create_task(busiest.crash()) if trouble else None
    results = await world.read_results(world.nodes[1], HOST, BATCH, 30, N_ITEMS)
    if crash:
        await crash
    if len(results) < N_ITEMS:
        world.record.write("only %d of %d results are read" % (len(results), N_ITEMS))
    breaks = []
    for result in results:
        whole = "\n".join("%s.%d" % (result["id"], n + 1) for n in range(N_EVENTS))
        if result["state"] == "completed" and result["text"] != whole:
            breaks.append("item %s is completed with %d of its %d events"
                          % (result["id"], len(result["text"].split("\n")), N_EVENTS))
    return breaks


run_case(FOLDER, play)
