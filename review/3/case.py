"""Items of a batch submission that hide a further request: one in its headers and body, one in its path."""

import asyncio
import base64
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))

from standins import CannotRun, run_case  # noqa: E402

HOST = "ficu95.example"
MODEL = "daka510000"
BATCH = "7c41e09b52d6a3f8"
N_ITEMS = 8
HIDDEN_IDS = {"0bad0000000000b1": "body", "0bad0000000000b2": "path"}
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


def make_hidden_request(identity):
    """A whole request to a path that no route has."""
    return ("POST /nobody/sent HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nModel: %s\r\nToken-Counts: 40,60\r\n"
            "Content-Length: 0\r\n\r\n" % (HOST, identity, MODEL))


def make_items(trouble):
    items = [{"id": "e5b2907c14da%04x" % i, "path": "/steps/1/%x" % i,
              "headers": {"Model": MODEL, "Token-Counts": "40,60"}, "body": "q83vEjRWeJA=", "tokens": 100,
              "group": "g1"} for i in range(N_ITEMS)]
    if trouble:
        in_body, in_path = list(HIDDEN_IDS)
        items[0]["headers"]["Transfer-Encoding"] = "chunked"
        items[0]["body"] = base64.b64encode(("0\r\n\r\n" + make_hidden_request(in_body)).encode()).decode()
        items[1]["path"] = ("/steps/1/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nModel: %s\r\n\r\n%s"
                            "GET /health" % (HOST, items[1]["id"], MODEL, make_hidden_request(in_path)))
    return items


async def play(world, trouble):
    engines = [await world.add_sampler("i-engine-%d" % i, "engines", MODEL) for i in range(3)]
    await world.name_desired(DESIRED)
    await world.add_nodes(3)
    await asyncio.sleep(3)
    items = make_items(trouble)
    status = await world.submit(world.nodes[0], HOST, "/steps/1", BATCH, {
        "step": 1, "model": MODEL, "minVersion": 1, "targetGroups": 1, "requests": items})
    if not trouble and status != 202:
        raise CannotRun("the batch submission is not accepted")
    if status == 202:
        await world.read_results(world.nodes[1], HOST, BATCH, 8, N_ITEMS)
    sent = {item["id"] for item in items}
    return ["a request that was hidden in the %s of an item runs at %s: %s %s"
            % (HIDDEN_IDS.get(run[1], "batch"), engine.name, run[1], run[2])
            for engine in engines for run in engine.runs if run[1] not in sent]


run_case(FOLDER, play)
