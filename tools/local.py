"""Starts and stops programs of build/bin on loopback, for tools/demo, tools/bench and tools/chaos. The
kernel chooses the ports."""

import http.client
import json
import os
import subprocess
import time

TOKEN = "local-token"


class Processes:
    """The processes that one run of a tool started."""

    def __init__(self, build, folder):
        self.build, self.folder = os.path.abspath(build), folder
        self.running = []

    def program(self, name):
        return os.path.join(self.build, "bin", name)

    def start(self, name, program, *arguments):
        output = os.path.join(self.folder, name + ".out")
        with open(output, "w") as out, open(os.path.join(self.folder, name + ".log"), "w") as log:
            # The daemon logs to standard output; the other programs print their result there.
            streams = (log, subprocess.STDOUT) if program == "lentilspindled" else (out, log)
            process = subprocess.Popen([self.program(program), *arguments], stdout=streams[0],
                                       stderr=streams[1])
        self.running.append((name, process))
        return process, output

    def stop(self):
        """Stops all processes in reverse order and returns their exit codes by name."""
        codes = {}
        for _, process in reversed(self.running):
            if process.poll() is None:
                process.terminate()
        for name, process in reversed(self.running):
            try:
                codes[name] = process.wait(timeout=30)
            except subprocess.TimeoutExpired:
                process.kill()
                codes[name] = process.wait()
        self.running = []
        return codes


def wait_until(what, condition, seconds=20):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise RuntimeError(f"timed out after {seconds} s waiting for: {what}")


def request(address, method, path, body=None, headers=None, timeout=60):
    """Makes one HTTP request and returns the status and the body of the reply."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, json.dumps(body) if body is not None else None,
                           headers or {})
        reply = connection.getresponse()
        return reply.status, reply.read().decode(errors="replace")
    finally:
        connection.close()


def announced_address(output):
    with open(output) as lines:
        line = lines.readline()
    return json.loads(line)["address"] if line.endswith("\n") else None


def start_standin(processes, name, program, *arguments):
    _, output = processes.start(name, program, f"--name={name}", *arguments)
    return wait_until(name, lambda: announced_address(output))


def start_daemon(processes, name="daemon", extra=None):
    """Starts a daemon, waits until it is ready, and returns the process and its caller address."""
    address_file = os.path.join(processes.folder, name + ".address")
    settings = os.path.join(processes.folder, name + ".json")
    values = {"instance": {"name": name, "data_centre": "hall-a",
                           "caller_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0"},
              "platform": {"kind": "memory"},
              "http": {"operator_token": TOKEN},
              "calls": {"load_poll_ms": 200},
              "drain": {"drain_ms": 200},
              "address_file": address_file}
    values.update(extra or {})
    with open(settings, "w") as out:
        json.dump(values, out)
    process, _ = processes.start(name, "lentilspindled", "--config", settings)
    wait_until(name, lambda: os.path.exists(address_file) or process.poll() is not None)
    with open(address_file) as file:
        address = json.load(file)["caller_address"]
    wait_until("ready " + name,
               lambda: process.poll() is None and request(address, "GET", "/readyz")[0] == 200)
    return process, address


def apply(processes, address, resources):
    path = os.path.join(processes.folder, "resources.json")
    with open(path, "w") as out:
        json.dump({"resources": resources}, out)
    done = subprocess.run([processes.program("lentilspindle"), "apply", "-f", path,
                           "--address", address, "--token", TOKEN],
                          capture_output=True, text=True, check=False)
    if done.returncode != 0:
        raise RuntimeError("lentilspindle apply failed: " + done.stderr.strip())
    return done.stdout.strip()
