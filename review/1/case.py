"""A second copy of the origin's answer comes some milliseconds late.

Traffic is that of the deployment: 300 API calls a second, 15% of the reads miss at their cache
server and go to the origin, and so do writes, 8% of the calls. Of these, half belong to
sample-request, which is deduplicated, and half to core-loan, which must never run twice. The origin
turns some of the writes away, which proves that they never ran.
"""
import asyncio
import json
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins as s

SECONDS = 60.0
CALLS_PER_SECOND = 300.0
MISS_SHARE = 0.15  # of the reads
WRITE_SHARE = 0.08  # of the calls
COPY_LATE_MS = 3.0  # the second copy comes this much behind the answer
COPY_SHARE = 0.3  # of the origin's good answers
TURNED_AWAY_SHARE = 0.05  # of the writes

SETTINGS = json.loads(json.dumps(s.SETTINGS))
SETTINGS["Products"].append(dict(SETTINGS["Products"][1], Name="core-loan", Effect="at_most_once"))


class Cache(s.Server):
    """Lacks some of the keys that it is asked for."""

    def __init__(self, record, name, rng):
        super().__init__(record, name)
        self.rng = rng

    async def serve(self, reader, writer):
        while True:
            words = await s.read_command(reader)
            if words is None:
                return
            id = words[2].decode()
            await asyncio.sleep(self.rng.uniform(0.015, 0.03))
            if self.rng.random() < MISS_SHARE:
                writer.write(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")
                continue
            value = f"made by {self.name} for {id}".encode()
            writer.write(b"*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n" % (len(value), value))


class Origin(s.Server):
    """Makes a value or a receipt for each request. Now and then a second copy of an answer follows
    it, if nothing else waits on the connection."""

    def __init__(self, record, rng):
        super().__init__(record, "origin")
        self.rng = rng
        self.copies = 0
        self.runs = {}  # how often each request ran

    async def serve(self, reader, writer):
        while True:
            try:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
            except asyncio.IncompleteReadError:
                return
            lines = head.split("\r\n")
            method, path, _ = lines[0].split()
            fields = {}
            for line in lines[1:]:
                if ":" in line:
                    name, value = line.split(":", 1)
                    fields[name.strip().lower()] = value.strip()
            if "content-length" in fields:
                await reader.readexactly(int(fields["content-length"]))
            id = fields["x-correlation-id"]
            self.record.add(f"origin: received {method} {path} id {id}")
            await asyncio.sleep(self.rng.uniform(0.02, 0.04))
            if method == "PUT" and self.rng.random() < TURNED_AWAY_SHARE:
                writer.write(
                    b"HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
                )
                self.record.add(f"origin: turned away id {id}")
                continue
            self.runs[id] = self.runs.get(id, 0) + 1
            body = f"made by the origin for {id}".encode()
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
            writer.write(answer)
            self.record.add(f"origin: answered id {id}")
            if s.trouble() and self.rng.random() < COPY_SHARE and not reader._buffer:
                await asyncio.sleep(COPY_LATE_MS / 1000.0)
                # Another request waits on the connection now: no second copy.
                if reader._buffer or reader.at_eof():
                    continue
                writer.write(answer)
                self.copies += 1
                self.record.add(f"origin: second copy of the answer to id {id}")


async def main(record, temporary, nodes):
    rng = random.Random(1)
    caches = [await Cache(record, f"cache-{i}", rng).start() for i in range(12)]
    origin = await Origin(record, rng).start()
    servers = [s.listed(f"s-{i}", cache.port) for i, cache in enumerate(caches)]
    servers.append(s.listed("s-origin", origin.port, kind="origin"))
    discovery = await s.Discovery(record, servers).start()
    port = s.free_port()
    config = s.node_config(port, discovery.port, discovery.full(), SETTINGS)
    nodes.append(s.Node(temporary, record, "n0", config))
    if not await s.ready(port):
        raise RuntimeError("the node is not ready")
    loop = asyncio.get_running_loop()
    counts = {}
    foreign = []
    told_done = []
    loans = []
    kept = []  # connections at rest: more are opened when all are busy

    async def call(number):
        id = f"{number:08x}{rng.getrandbits(32):08x}"
        key = f"borehole-{rng.getrandbits(40):010x}"
        draw = rng.random()
        if draw < WRITE_SHARE / 2:
            words = ("OBJ.SET", key, id, f"c=sample-request,d=800,k={id}", "depth 40 m")
        elif draw < WRITE_SHARE:
            words = ("OBJ.SET", key, id, "c=core-loan,d=800", "box 12")
            loans.append(id)
        else:
            words = ("OBJ.GET", key, id, "c=photo-view,d=1200")
        kind, text = "closed", b""
        for attempt in range(2):  # what crosses a close is sent once more on a new connection
            if kept and attempt == 0:
                reader, writer = kept.pop()
            else:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
            record.add(f"client: sent {words[0]} {key} id {id}")
            try:
                writer.write(s.command(*words))
                kind, text = await s.read_answer(reader)
            except OSError:
                kind, text = "closed", b""
            if kind not in ("closed", "cut"):
                kept.append((reader, writer))
                break
            writer.close()
        record.add(f"client: {kind} id {id}: {text.decode(errors='replace')}")
        counts[kind] = counts.get(kind, 0) + 1
        if kind == "served" and not text.endswith(f"for {id}".encode()):
            foreign.append((id, text.decode(errors="replace")))
            record.add(f"FOREIGN: id {id} was served with: {text.decode(errors='replace')}")
            if words[0] == "OBJ.SET":
                told_done.append(id)

    calls = []
    begun = loop.time()
    due = begun
    while due - begun < SECONDS:
        await asyncio.sleep(max(0.0, due - loop.time()))
        calls.append(asyncio.ensure_future(call(len(calls))))
        due += rng.expovariate(CALLS_PER_SECOND)
    await asyncio.gather(*calls)
    await asyncio.sleep(1.0)
    never_ran = [id for id in told_done if not origin.runs.get(id)]
    for id in never_ran:
        record.add(f"LOST: id {id} was told that its write was done; it never ran")
    twice = [id for id in loans if origin.runs.get(id, 0) > 1]
    for id in twice:
        record.add(f"TWICE: id {id} must never run twice and ran {origin.runs[id]} times")
    summary = (
        f"answers {counts}, the origin's runs {sum(origin.runs.values())}, second copies "
        f"{origin.copies}: {len(foreign)} foreign values, {len(never_ran)} writes told as done that "
        f"never ran, {len(twice)} loans run twice"
    )
    record.add(summary)
    print(summary)
    for id, text in foreign[:3]:
        print(f"  id {id} was served with: {text}")
    if not nodes[0].is_running():
        raise RuntimeError("the node has ended")
    if counts.get("served", 0) < 0.5 * len(calls):
        raise RuntimeError("too few calls were served to judge")
    return not foreign and not never_ran and not twice


s.run_case(main, FOLDER)
