"""Stand-ins on loopback for the users' platform: store, workers, machine service, advice, clients.

They follow PROTOCOL.md and DEPLOY.md. All of them run in one asyncio loop; the nodes are real processes that are started
with the command of deploy/system.toml and the settings template of deploy/settings.yaml.
"""

import asyncio
import base64
import collections
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()
        self.breaks = []

    def now(self):
        return time.monotonic() - self.begun

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def broken(self, rule, text):
        self.breaks.append(f"{rule}: {text}")
        self.write(f"BROKEN {rule}: {text}")

    def close(self):
        self.file.close()


class HttpServer:
    """HTTP/1.1 with keep-alive. `handle(method, path, query, headers, body)` returns (status, object), or None to close
    the connection without an answer."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()
        self.port = 0

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, HOST, port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def address(self):
        return f"{HOST}:{self.port}"

    async def stop(self):
        """Ends every connection, as a crash does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                path, _, raw = target.partition("?")
                query = {}
                for pair in raw.split("&") if raw else []:
                    name, _, value = pair.partition("=")
                    query[name] = unquote(value)
                answer = self.handle(method, path, query, headers, body)
                if asyncio.iscoroutine(answer):
                    answer = await answer
                if answer is None:
                    break
                status, content = answer
                data = json.dumps(content).encode() if content is not None else b""
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def unquote(text):
    return re.sub(r"%([0-9a-fA-F]{2})", lambda found: chr(int(found.group(1), 16)), text.replace("+", " "))


async def call(address, method, path, headers=None, body=None, timeout=3.0):
    """One request on a connection of its own. Returns (status, object); status 0: no connection, -1: no answer."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                return 0, None
            data = json.dumps(body).encode() if body is not None else b""
            head = f"{method} {path} HTTP/1.1\r\nContent-Length: {len(data)}\r\n"
            for name, value in (headers or {}).items():
                head += f"{name}: {value}\r\n"
            if data:
                head += "Content-Type: application/json\r\n"
            writer.write(head.encode() + b"\r\n" + data)
            await writer.drain()
            answer = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(answer.split(" ", 2)[1])
            length = re.search(r"content-length: *(\d+)", answer, re.IGNORECASE)
            content = await reader.readexactly(int(length.group(1))) if length else b""
            return status, json.loads(content) if content else None
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return -1, None
    finally:
        if writer:
            writer.close()


class Store:
    """The platform's metadata store, in the form of tables, with the limits of the settings file."""

    ROW_BYTES = 65536
    TX_BYTES = 1_000_000
    TX_ENTRIES = 100
    TX_SECONDS = 0.004

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, part, key) -> (value in base64 or None, version)
        self.version = 0
        self.changed = asyncio.Event()
        self.http = HttpServer(self.handle)
        self.refused = collections.Counter()

    def put(self, table, key, value):
        """As operators and workers write."""
        self.write([((table, "", key), base64.b64encode(json.dumps(value).encode()).decode())])
        return self.version

    def remove(self, table, key):
        self.write([((table, "", key), None)])

    def get(self, table, key, part=""):
        value, _ = self.rows.get((table, part, key), (None, 0))
        return base64.b64decode(value) if value is not None else None

    def write(self, writes):
        self.version += 1
        for key, value in writes:
            self.rows[key] = (value, self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    def common(self):
        return {"ver": self.version, "now_ms": int(time.monotonic() * 1000)}

    async def handle(self, method, path, query, headers, body):
        if path == "/rattanrack/rows-tx":
            await asyncio.sleep(self.TX_SECONDS)
            return self.transact(body)
        if path == "/rattanrack/rows-get":
            return self.read(query)
        if path == "/rattanrack/rows-feed":
            return await self.feed(query)
        return 404, {}

    def refuse(self, status, reason):
        self.refused[reason] += 1
        if self.refused[reason] <= 5 or self.refused[reason] % 50 == 0:
            self.record.write(f"store: transaction refused with {status}: {reason} ({self.refused[reason]} so far)")
        return status, {"error": reason}

    def transact(self, body):
        if len(body) > self.TX_BYTES:
            return self.refuse(400, "over 1 MB")
        entries = json.loads(body)
        expected = entries.get("expected", [])
        puts = entries.get("put", [])
        removes = entries.get("remove", [])
        if len(expected) + len(puts) + len(removes) > self.TX_ENTRIES:
            return self.refuse(400, "over 100 entries")

        def key(row):
            return row["table"], row["part"], row["key"]

        if len({key(row)[1] for row in expected + puts + removes}) > 1:
            return self.refuse(400, "several parts")
        if any(row["table"] in ("op", "servers") for row in puts + removes):
            return self.refuse(403, "not the system's table")
        for row in puts:
            size = len(base64.b64decode(row["value"]))
            if size > self.ROW_BYTES:
                return self.refuse(400, f"a value in table {row['table']} is over row_bytes")
        current = []
        for row in expected:
            value, version = self.rows.get(key(row), (None, 0))
            if value is None:
                version = 0
            found = {"table": row["table"], "part": row["part"], "key": row["key"], "ver": version}
            if value is not None:
                found["value"] = value
            current.append((found, version == row["ver"]))
        if not all(holds for _, holds in current):
            return 412, {"rows": [found for found, _ in current], **self.common()}
        self.write([(key(row), row["value"]) for row in puts] + [(key(row), None) for row in removes])
        return 200, self.common()

    def read(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        first, target = query.get("from", ""), query.get("target")
        limit = min(int(query.get("limit", "500")), 500)
        keys = sorted(
            key
            for key, (value, _) in self.rows.items()
            if key[0] == table and key[1] == part and value is not None and key[2] >= first
            and (target is None or key[2] < target)
        )
        rows = []
        size = 0
        for key in keys[:limit]:
            value, version = self.rows[key]
            size += len(value)
            if rows and size > self.TX_BYTES:
                break
            rows.append({"table": key[0], "part": key[1], "key": key[2], "value": value, "ver": version})
        return 200, {"rows": rows, "has_more": len(rows) < len(keys), **self.common()}

    async def feed(self, query):
        table, after = query.get("table", ""), int(query.get("after", "0"))
        until = time.monotonic() + min(int(query.get("wait_ms", "0")), 30000) / 1000
        while True:
            found = sorted((version, key) for key, (_, version) in self.rows.items() if key[0] == table and version > after)
            left = until - time.monotonic()
            if found or left <= 0:
                rows = []
                for version, key in found:
                    row = {"table": key[0], "part": key[1], "key": key[2], "ver": version}
                    value = self.rows[key][0]
                    row.update({"tombstone": True} if value is None else {"value": value})
                    rows.append(row)
                return 200, {"rows": rows, **self.common()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Run:
    def __init__(self, task, number, spec, checkpoint, ticket):
        self.task = task
        self.number = number
        self.spec = spec  # the step's behaviour, as the client has described it
        self.checkpoint = checkpoint
        self.saved = checkpoint
        self.ticket = ticket
        self.started = time.monotonic()
        self.work_from = None  # when its work began; None: not yet
        self.done_before = 0.0  # seconds of work that the checkpoint carries
        self.stop_at = None


class Worker:
    """One life of a machine. `behaviour(task)` tells what a subtask does: a dict with seconds, cpu, mem and optionally
    gang (the number of members), lasting, startup, interval."""

    def __init__(self, world, machine):
        self.world = world
        self.machine = machine
        self.http = HttpServer(self.handle)
        self.is_up = False
        self.id = ""
        self.beat = None

    async def start(self, keep_id=False):
        """A new life."""
        self.machine.lives += 1
        if not keep_id or not self.id:
            self.id = f"i-{self.machine.name}-{self.machine.lives}"
        self.born = int(time.time() * 1000)
        self.clock_from = time.monotonic()
        self.runs = {}
        self.finished = []
        self.next_end = 1
        self.highest = {}  # by task: the highest run that was stopped or has ended here
        self.fence = 0
        self.until = 0.0
        self.draining = False
        self.sequence = 0
        self.ended = asyncio.Event()
        await self.http.start()
        self.is_up = True
        self.machine.worker = self
        self.world.record.write(f"worker {self.id} is up on {self.machine.name} in {self.machine.pool}")
        self.write_row()
        self.beat = asyncio.create_task(self.run_beat())

    async def crash(self, reason):
        self.world.record.write(f"worker {self.id} ends ({reason}); it ran {sorted(self.runs)}")
        self.is_up = False
        lost = dict(self.runs)
        self.runs = {}
        if self.beat:
            self.beat.cancel()
        await self.http.stop()
        for run in lost.values():
            self.world.on_lost(self, run, reason)

    def remove_row(self):
        self.world.store.remove("servers", self.id)

    def write_row(self):
        self.sequence += 1
        machine = self.machine
        self.world.store.put(
            "servers", self.id,
            {"backend": machine.pool, "address": self.http.address(), "zone": machine.zone, "version": "v1", "slots": 8,
             "state": "draining" if self.draining else "ready", "cold_remaining_ms": 0, "capacity": machine.capacity,
             "labels": machine.labels, "machine": machine.name, "born": self.born, "clock_ms": self.clock(),
             "sequence": self.sequence})

    async def run_beat(self):
        while True:
            await asyncio.sleep(1.5)
            self.write_row()

    def clock(self):
        return int((time.monotonic() - self.clock_from) * 1000)

    def used(self):
        total = collections.Counter()
        for run in self.runs.values():
            total["cpu"] += 0 if run.spec.get("fills") else run.spec["cpu"]
            total["mem_mb"] += run.spec["mem"]
        return total

    def percent(self, run):
        if run.spec.get("lasting"):
            return 100 if time.monotonic() - run.started >= run.spec.get("startup", 0.3) else 0
        if run.work_from is None:
            return 0
        return min(100, int(100 * self.worked(run) / run.spec["seconds"]))

    def worked(self, run):
        return run.done_before + (0 if run.work_from is None else time.monotonic() - run.work_from)

    def end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.finished.append([self.next_end, run.task, run.number, how, run.saved])
        self.world.record.write(f"{self.id}: end {self.next_end} of {run.task} run {run.number}: {how} saved={run.saved!r}")
        self.next_end += 1
        self.world.on_end(self, run, how)
        self.ended.set()
        self.ended = asyncio.Event()

    def advance(self):
        """What is due. Called every few milliseconds."""
        now = time.monotonic()
        lapsed = self.clock() >= self.until
        for run in list(self.runs.values()):
            if lapsed:
                self.end(run, "lapsed")
                continue
            if run.stop_at is not None and now >= run.stop_at:
                self.end(run, "stopped")
                continue
            if run.spec.get("lasting"):
                continue
            gang = run.spec.get("gang", 0)
            if run.work_from is None and not gang:
                run.work_from = now
            if run.work_from is None and gang and now - run.started >= self.world.GANG_SECONDS:
                self.end(run, "alone")
                continue
            if run.work_from is None:
                continue
            interval = run.spec.get("interval")
            if interval and int(self.worked(run) / interval) > int(run.done_before / interval + 1e-9):
                steps = int(self.worked(run) / interval)
                run.saved = self.world.checkpoint(run.task, steps)
            if self.worked(run) >= run.spec["seconds"]:
                self.end(run, "done")

    def answer(self, status, **content):
        return status, {"clock_ms": self.clock(), "born": self.born, **content}

    async def handle(self, method, path, query, headers, raw):
        if self.world.LINK_SECONDS:
            await asyncio.sleep(self.world.LINK_SECONDS)
        if not self.is_up:
            return None
        expected = headers.get("x-expect-instance")
        if expected is not None and expected != self.id:
            return self.answer(421)
        body = json.loads(raw or b"{}")
        fence = body.get("fence", 0)
        if fence < self.fence:
            return self.answer(409, reason="fence")
        self.fence = fence
        self.advance()
        if path == "/rattanrack/run-start":
            return self.on_start(body)
        if path == "/rattanrack/run-stop":
            return self.on_stop(body)
        if path == "/rattanrack/hold":
            return await self.on_hold(body)
        if path == "/rattanrack/pace":
            return self.answer(200)
        return self.answer(400)

    def extend(self, until):
        self.until = max(self.until, min(until, self.clock() + self.world.HOLD_MAX_MS))

    def on_start(self, body):
        task, number = body["task"], body["run"]
        present = self.runs.get(task)
        if present and present.number == number:
            return self.answer(200)
        if (present and number <= present.number) or number <= self.highest.get(task, 0):
            self.extend(body["until_ms"])
            return self.answer(409, reason="old")
        if body["until_ms"] <= self.clock():
            return self.answer(409, reason="late")
        spec = self.world.behaviour(task)
        if spec is None:
            self.world.record.broken("UNASKED", f"{self.id}: start of {task}, which no client sent")
            return self.answer(400)
        if not self.world.ticket_holds(self, task, body.get("ticket")):
            return self.answer(409, reason="ticket")
        run = Run(task, number, spec, body.get("checkpoint_state", ""), body.get("ticket"))
        used = self.used()
        if (used["cpu"] + (0 if spec.get("fills") else spec["cpu"]) > self.machine.capacity["cpu"]
                or used["mem_mb"] + spec["mem"] > self.machine.capacity["mem_mb"]) and self.world.guards:
            self.extend(body["until_ms"])
            return self.answer(409, reason="room")
        if present:
            self.end(present, "stopped")
        run.done_before = self.world.work_of(task, run.checkpoint)
        self.runs[task] = run
        self.extend(body["until_ms"])
        self.world.on_start(self, run, body)
        return self.answer(200)

    def on_stop(self, body):
        run = self.runs.get(body["task"])
        if run and run.number == body["run"]:
            if run.stop_at is None:
                self.world.record.write(f"{self.id}: stop of {run.task} run {run.number}")
                run.stop_at = time.monotonic() + self.world.STOP_SECONDS
                self.world.on_stop(self, run)
            return self.answer(200)
        self.highest[body["task"]] = max(self.highest.get(body["task"], 0), body["run"])
        return self.answer(200)

    async def on_hold(self, body):
        acked = body.get("acked_through", 0)
        if acked and any(end[0] <= acked for end in self.finished):
            self.finished = [end for end in self.finished if end[0] > acked]
            self.world.on_acked(self, acked)
        if body.get("until_ms"):
            self.extend(body["until_ms"])
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.finished and self.is_up:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.ended.wait(), left)
            except asyncio.TimeoutError:
                break
        if not self.is_up:
            return None
        running = [[run.task, run.number, run.saved, self.percent(run), 0] for run in self.runs.values()]
        return self.answer(200, running=running, finished=self.finished[:500])


class Machine:
    def __init__(self, name, pool, zone, rack, capacity):
        self.name = name
        self.pool = pool
        self.zone = zone
        self.labels = ["a", rack]
        self.capacity = capacity
        self.state = "up"
        self.worker = None
        self.lives = 0
        self.waves_done = set()


class World:
    """The installation: store, machine service, advice, workers, nodes."""

    HOLD_MAX_MS = 10000
    GANG_SECONDS = 3.0
    STOP_SECONDS = 0.3
    MOVE_SECONDS = 1.5
    UPKEEP_SECONDS = 2.0
    RESTORE_SECONDS = 0.1
    LINK_SECONDS = 0.0  # What a call to a worker takes on the network, there and back.

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.store = Store(self.record)
        self.cloud = HttpServer(self.handle_cloud)
        self.advice = HttpServer(self.handle_advice)
        self.machines = {}
        self.standby = set()
        self.jobs = {}  # id -> body
        self.behaviours = {}  # id -> function from (occurrence, step, index) to a behaviour
        self.nodes = []
        self.guards = True
        self.tickets = {}
        self.starts = []  # (time, worker id, task, run, checkpoint)
        self.ends = []  # (time, worker id, task, run, how)
        self.directory = tempfile.mkdtemp(prefix="rattanrack-review-")
        self.ticking = None
        self.active = {}  # task -> set of (worker id, run) at work or waiting

    # Hooks that a case may replace.
    def behaviour(self, task):
        job, occurrence, step, index = task.split(".")
        known = self.behaviours.get(job)
        return known(int(occurrence), int(step), int(index)) if known else None

    def ticket_holds(self, worker, task, ticket):
        return True

    def good_workers(self, step, workers):
        return workers

    def on_start(self, worker, run, body):
        self.starts.append((self.record.now(), worker.id, run.task, run.number, run.checkpoint))
        self.record.write(f"{worker.id}: start of {run.task} run {run.number} fence {body['fence']} checkpoint={run.checkpoint!r}")
        others = self.active.setdefault(run.task, set())
        for other, number in others:
            self.record.write(f"note: {run.task} run {number} is present on {other} at this start")
        others.add((worker.id, run.number))
        gang = run.spec.get("gang", 0)
        if gang:
            self.gather(run, gang)

    def gather(self, run, gang):
        """The members of one run work from the moment when all of them are present with the same checkpoint."""
        step = run.task.rsplit(".", 1)[0]
        members = [
            other for machine in self.machines.values() if machine.worker and machine.worker.is_up
            for other in machine.worker.runs.values()
            if other.task.rsplit(".", 1)[0] == step and other.number == run.number and other.checkpoint == run.checkpoint
        ]
        if len(members) < gang:
            return
        self.record.write(f"gang {step} run {run.number} is complete")
        for member in members:
            member.work_from = time.monotonic() + (self.RESTORE_SECONDS if member.checkpoint else 0)

    def on_end(self, worker, run, how):
        self.ends.append((self.record.now(), worker.id, run.task, run.number, how))
        self.active.get(run.task, set()).discard((worker.id, run.number))
        if run.spec.get("gang") and how not in ("done", "broken", "alone"):
            self.break_gang(run)

    def on_lost(self, worker, run, reason):
        self.ends.append((self.record.now(), worker.id, run.task, run.number, "lost: " + reason))
        self.active.get(run.task, set()).discard((worker.id, run.number))
        if run.spec.get("gang"):
            self.break_gang(run)

    def break_gang(self, run):
        step = run.task.rsplit(".", 1)[0]
        for machine in self.machines.values():
            worker = machine.worker
            for other in list(worker.runs.values()) if worker and worker.is_up else []:
                if other.task.rsplit(".", 1)[0] == step and other.number == run.number and other.work_from is not None:
                    worker.end(other, "broken")

    def on_stop(self, worker, run):
        pass

    def on_acked(self, worker, number):
        self.record.write(f"{worker.id}: ends up to {number} are taken note of")

    def checkpoint(self, task, steps):
        return f"{steps:08x}{task.split('.')[0][:8]}"

    def work_of(self, task, checkpoint):
        return int(checkpoint[:8], 16) * self.behaviour(task).get("interval", 0) if checkpoint else 0.0

    # The platform.
    def add_machine(self, name, pool, zone, rack, capacity=None):
        self.machines[name] = Machine(name, pool, zone, rack, capacity or {"cpu": 16000, "mem_mb": 65536, "gpu": 0})

    async def start_platform(self):
        await self.store.http.start()
        await self.cloud.start()
        await self.advice.start()
        for machine in self.machines.values():
            if machine.pool not in self.standby:
                await Worker(self, machine).start()
        self.ticking = asyncio.create_task(self.tick())

    async def tick(self):
        while True:
            await asyncio.sleep(0.005)
            for machine in self.machines.values():
                if machine.worker and machine.worker.is_up:
                    machine.worker.advance()

    def handle_cloud(self, method, path, query, headers, raw):
        if path == "/rattanrack/machines":
            return 200, {"machines": [self.describe(machine) for machine in self.machines.values()], "next_token": None}
        body = json.loads(raw or b"{}")
        machine = self.machines.get(body.get("machine"))
        if not machine:
            return 400, {}
        holder, fence = headers.get("x-duty-holder"), headers.get("x-fencing-token")
        if path == "/rattanrack/machine-upkeep":
            if body["wave"] in machine.waves_done:
                return 200, {}
            wave = json.loads(self.store.get("op", f"wave/{body['wave']}") or b"{}")
            if machine.name not in wave.get("machines", []):
                return 409, {"reason": "wave"}
            if machine.state != "up":
                return 409, {"reason": "busy"}
            machine.waves_done.add(body["wave"])
            self.record.write(f"machine service: upkeep of {machine.name} for {holder}, fence {fence}")
            self.take_down(machine, "upkeep", machine.pool, self.UPKEEP_SECONDS)
            return 200, {}
        if path == "/rattanrack/machine-move":
            if machine.pool == body["pool"]:
                return 200, {}
            if machine.state != "up":
                return 409, {"reason": "busy"}
            self.record.write(f"machine service: move of {machine.name} to {body['pool']} for {holder}, fence {fence}")
            self.take_down(machine, "moving", body["pool"], self.MOVE_SECONDS)
            return 200, {}
        return 400, {}

    def describe(self, machine):
        worker = machine.worker
        return {"machine": machine.name, "pool": machine.pool, "state": machine.state, "zone": machine.zone,
                "labels": machine.labels, "capacity": machine.capacity,
                "id": worker.id if worker and worker.is_up else ""}

    def take_down(self, machine, state, pool, seconds):
        machine.state = state
        self.on_taken_down(machine, state)
        old = machine.worker
        machine.worker = None
        asyncio.create_task(self.replace(machine, old, state, pool, seconds))

    def on_taken_down(self, machine, state):
        """Before what runs there ends."""

    async def replace(self, machine, old, state, pool, seconds):
        if old and old.is_up:
            await old.crash(state)
            old.remove_row()
        await asyncio.sleep(seconds)
        machine.pool = pool
        machine.state = "up"
        if pool not in self.standby:
            await Worker(self, machine).start()

    async def handle_advice(self, method, path, query, headers, raw):
        body = json.loads(raw or b"{}")
        await asyncio.sleep(0.02 + 0.002 * len(body.get("workers", [])))
        good = self.good_workers(body["step"], body["workers"])
        self.record.write(f"advice: step {body['step']}, {len(body['workers'])} workers asked, {len(good)} good")
        rows = []
        for worker in good:
            ticket = f"t-{worker}-{body['step']}"
            rows.append([worker, ticket])
        return 200, {"good": rows, "valid_ms": self.VALID_MS}

    VALID_MS = 3000

    # The nodes.
    def start_nodes(self, count, zones):
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["node"]
        with open(os.path.join(REPOSITORY, role["template"]), encoding="utf-8") as file:
            template = file.read()
        for number in range(count):
            node = Node(self, f"edge-{zones[number % len(zones)]}-{number + 1}", role["run"], template)
            self.nodes.append(node)
            node.start()

    async def ready(self, timeout=20.0):
        until = time.monotonic() + timeout
        for node in self.nodes:
            while (await call(node.readiness, "GET", "/rattanrack/readyz", timeout=0.5))[0] != 200:
                if time.monotonic() > until:
                    return False
                if node.process and node.process.poll() is not None:  # Another program has taken a port meanwhile.
                    self.record.write(f"node {node.name} has ended with {node.process.returncode}")
                    node.choose_ports()
                    node.start()
                await asyncio.sleep(0.1)
        return True

    async def ask(self, method, path, host, body=None, tries=6, deadline=3.0):
        """As a consumer: the next try goes to another node. Returns the last (status, object)."""
        result = (0, None)
        live = [node for node in self.nodes if node.process]
        begun = self.asked = getattr(self, "asked", 0) + 1
        for attempt in range(tries):
            node = live[(begun + attempt) % len(live)]
            headers = {"Host": host, "X-Deadline-Ms": str(int(deadline * 1000))}
            result = await call(node.frontend, method, path, headers, body, deadline)
            if result[0] not in (0, -1, 429, 502, 503, 504):
                break
            await asyncio.sleep(0.3)
        short = json.dumps(body)[:120] if body is not None else ""
        self.record.write(f"client: {method} {path} {short} -> {result[0]} {json.dumps(result[1])}")
        return result

    async def stop(self):
        for node in self.nodes:
            node.kill()
        if self.ticking:
            self.ticking.cancel()
        for machine in self.machines.values():
            if machine.worker and machine.worker.beat:
                machine.worker.beat.cancel()
        shutil.rmtree(self.directory, ignore_errors=True)


def free_port():
    """Below the ports that the kernel gives to connections, so that a node can take it again after a restart."""
    while True:
        port = random.randrange(12000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
                return port
            except OSError:
                pass


def render(template, fields):
    """The part of the template language of DEPLOY.md that deploy/settings.yaml uses."""
    def value(path, scope):
        found = scope
        for name in path.split("."):
            if isinstance(found, list):
                found = found[int(name)] if int(name) < len(found) else ""
            else:
                found = found.get(name, "")
        return found

    def section(match):
        found = value(match.group(1), fields)
        return match.group(2).replace("{{.}}", str(found)) if found else ""

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(value(match.group(1), fields)), text)


class Node:
    """A node: a process of the deploy file's command."""

    def __init__(self, world, name, command, template):
        self.world = world
        self.name = name
        self.process = None
        self.template = template
        self.settings = os.path.join(world.directory, name + ".conf")
        words = command.split()
        self.command = [os.path.join(REPOSITORY, words[0])] + [
            word.replace("/etc/rattanrack/boot.conf", self.settings) for word in words[1:]
        ]
        self.choose_ports()

    def choose_ports(self):
        world = self.world
        ports = [free_port() for _ in range(3)]
        self.frontend, self.readiness = f"{HOST}:{ports[0]}", f"{HOST}:{ports[1]}"
        fields = {
            "node_name": self.name, "ip": HOST, "port_range": [ports[2], ports[2]],
            "listen_addrs": {"frontend": self.frontend, "readiness_addr": self.readiness},
            "platform": {"address": world.store.http.address()}, "cloud": {"address": world.cloud.address()},
            "advice": world.advice.address(),
            "bounds": {"hold_max_ms": world.HOLD_MAX_MS, "status_s": 120, "stop_ms": 900, "drain_ms": 2000, "grace_s": 6},
            "limits": {"cpu_share": 0.25, "cores": 1},
        }
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(render(self.template, fields))

    def start(self):
        log = open(os.path.join(self.world.directory, self.name + ".log"), "ab")
        self.process = subprocess.Popen(self.command, cwd=REPOSITORY, stdout=log, stderr=subprocess.STDOUT)
        log.close()
        self.world.record.write(f"node {self.name} is started")

    def signal(self, number):
        if self.process:
            self.world.record.write(f"node {self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def terminate(self, grace=6.0):
        """SIGTERM, and SIGKILL after the grace."""
        self.signal(signal.SIGTERM)
        until = time.monotonic() + grace
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()
        self.world.record.write(f"node {self.name} has ended with {self.process.returncode}")
        self.process = None

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.process = None


def main(play):
    """Runs `play(world, trouble)` and exits as a case has to: 0 held, 1 broken, 2 could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        world = World(folder)
        world.record.write(f"TROUBLE={int(trouble)}")
        problem = None
        try:
            async with asyncio.timeout(115):
                problem = await play(world, trouble)
        except TimeoutError:
            problem = "the case took too long"
        except Exception as error:  # A fault of the script must not look like a broken rule.
            problem = f"{type(error).__name__}: {error}"
        finally:
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(world.directory, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
            await world.stop()
        if problem:
            world.record.write(f"could not run: {problem}")
        verdict = 1 if world.record.breaks else 2 if problem else 0
        world.record.write(f"exit {verdict}")
        world.record.close()
        for line in world.record.breaks[:5]:
            print("broken:", line)
        if problem:
            print("could not run:", problem)
        return verdict

    verdict = asyncio.run(run())
    sys.stdout.flush()
    os._exit(verdict)
