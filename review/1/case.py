"""A requester sends a body in chunks that end with a trailer field; the process that reads it ends,
and with it all requests that it had passed on. Then the requester tries again elsewhere."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))

from standins import CannotRun, read_response, run_case  # noqa: E402

HOST = "ficu95.example"
N_NODES = 3
CHANNELS_PER_NODE = 6
ALLOWED_LOSSES = 3  # LOST: "more than three times"
DESIRED = {
    "version": 3,
    "routes": [{"name": "lookup", "host": HOST, "prefix": "/lookup/", "kind": "safe", "timeoutMs": 5000,
                "goalMs": 2000, "priority": 2, "service": "trace-app", "attempts": 3}],
    "services": [{"name": "trace-app", "healthPath": "/health", "maxConns": 110, "protocol": "h1",
                  "tls": False}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000},
}


class Channel:
    """A kept channel of a requester, which sends one request after the other."""

    def __init__(self, world, node, number):
        self.world, self.node, self.number = world, node, number
        self.lost = []  # requests whose channel was closed without an answer

    async def use(self, stop):
        host, port = self.node.front.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        sent = 0
        try:
            while not stop.is_set():
                sent += 1
                identity = "%04x%012x" % (self.number, sent)
                writer.write(("POST /lookup/%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 4000\r\n"
                              "Content-Length: 3\r\n\r\nabc" % (identity, HOST, identity)).encode())
                try:
                    status, _, _ = await asyncio.wait_for(read_response(reader), 6)
                except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                    self.lost.append(identity)
                    self.world.record.write("channel %d to %s is closed without an answer to %s"
                                            % (self.number, self.node.name, identity))
                    return
                self.world.record.write("%s is answered %d by %s" % (identity, status, self.node.name))
        finally:
            writer.close()


async def send_in_chunks(world, node, identity, with_trailer):
    """Sends one request with its body in chunks. Returns its status; 0: no answer."""
    host, port = node.front.split(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return 0
    trailer = "Body-Digest: 900150983cd24fb0\r\n" if with_trailer else ""
    writer.write(("POST /lookup/chunks HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 4000\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n%s\r\n"
                  % (HOST, identity, trailer)).encode())
    try:
        status, _, _ = await asyncio.wait_for(read_response(reader), 5)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        status = 0
    writer.close()
    world.record.write("request in chunks %s, %s trailer, to %s: %s"
                       % (identity, "with a" if with_trailer else "no", node.name,
                          "answered %d" % status if status else "no answer"))
    return status


async def play(world, trouble):
    samplers = [await world.add_sampler("i-app-%d" % i, "trace-app", work=0.4) for i in range(3)]
    await world.name_desired(DESIRED)
    await world.add_nodes(N_NODES)
    await asyncio.sleep(4)  # longer than stableMs
    stop = asyncio.Event()
    channels = [Channel(world, node, i * CHANNELS_PER_NODE + k)
                for i, node in enumerate(world.nodes) for k in range(CHANNELS_PER_NODE)]
    tasks = [asyncio.create_task(channel.use(stop)) for channel in channels]
    await asyncio.sleep(1)
    # A safe request is tried again after any failure, each time at another node.
    for i, node in enumerate(world.nodes):
        if await send_in_chunks(world, node, "c0ffee%010x" % i, trouble):
            break
    await asyncio.sleep(1.5)
    for node in world.nodes:
        world.record.write("%s: %s" % (node.name, "runs" if node.process.returncode is None
                                       else "its process ended by itself: %d" % node.process.returncode))
    stop.set()
    await asyncio.gather(*tasks)
    passed_on = {run[1] for sampler in samplers for run in sampler.runs}
    if not passed_on:
        raise CannotRun("no request reached a sampler")
    lost = [identity for channel in channels for identity in channel.lost if identity in passed_on]
    ended = [n.name for n in world.nodes if n.process.returncode is not None]
    if len(lost) <= ALLOWED_LOSSES:
        return []
    return ["%d requests were passed on to sound samplers and their kept channels closed without an answer; "
            "the processes of %s ended by themselves" % (len(lost), ", ".join(ended) or "no machine")]


run_case(FOLDER, play)
