"""The operator moves a batch route to another service, whose engines hold the same model."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))

from standins import CannotRun, run_case  # noqa: E402

HOST = "ficu95.example"
CONFIG_S = 2.0  # configMs of the site
SETTLE_S = 3.0  # stableMs of the site
MODEL = "daka510000"
N_ITEMS = 48
BATCH = "7c41e09b52d6a3f8"


def make_desired(version, service, services):
    engine = {"slots": 8, "kvTokens": 44538, "stride": 1, "models": [{"name": MODEL}]}
    return {
        "version": version,
        "routes": [{"name": "steps", "host": HOST, "prefix": "/steps/", "kind": "weight_rollout",
                    "timeoutMs": 10000, "goalMs": 400, "dueMs": 7500, "maxQueueS": 60, "priority": 1,
                    "service": service, "attempts": 3}],
        "services": [{"name": name, "healthPath": "/health", "maxConns": 140, "protocol": "h1",
                      "tls": False, "engine": engine} for name in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
    }


def make_batch():
    return {"step": 1, "model": MODEL, "minVersion": 1, "targetGroups": N_ITEMS // 8,
            "requests": [{"id": "e5b2907c14da%04x" % i, "path": "/steps/1/%x" % i,
                          "headers": {"Model": MODEL, "Token-Counts": "40,60"}, "body": "q83vEjRWeJA=",
                          "tokens": 100, "group": "g%d" % (i // 8)} for i in range(N_ITEMS)]}


async def play(world, trouble):
    # The engines of the new service register beside the old ones in both runs.
    old = [await world.add_sampler("i-old-%d" % i, "engines-old", MODEL) for i in range(3)]
    new = [await world.add_sampler("i-new-%d" % i, "engines-new", MODEL) for i in range(3)]
    await world.name_desired(make_desired(3, "engines-old", ["engines-old"]))
    await world.add_nodes(3)
    await asyncio.sleep(SETTLE_S + 1)
    allowed, others = old, new
    if trouble:
        await world.name_desired(make_desired(8, "engines-new", ["engines-old", "engines-new"]))
        allowed, others = new, old
    await asyncio.sleep(CONFIG_S + SETTLE_S)
    sent_at = time.monotonic()
    if await world.submit(world.nodes[0], HOST, "/steps/1", BATCH, make_batch()) != 202:
        raise CannotRun("the batch submission is not accepted")
    results = await world.read_results(world.nodes[1], HOST, BATCH, 20, N_ITEMS)
    world.record.write("%d of %d results read" % (len(results), N_ITEMS))
    if not any(run[0] >= sent_at for sampler in allowed + others for run in sampler.runs):
        raise CannotRun("no item reached an engine")
    return ["item %s runs at %s of %s, but the route leads to %s since %.1f s before the 202"
            % (run[1], sampler.name, sampler.service, allowed[0].service, CONFIG_S + SETTLE_S)
            for sampler in others for run in sampler.runs if run[0] >= sent_at]


run_case(FOLDER, play)
