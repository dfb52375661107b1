"""Stand-ins for the platform round a node: discovery, cache servers, the origin, clients, and a
relay that delays bytes. They follow the operators' protocol page and use only the standard library.

Each stand-in writes what it sees to a shared record. The value that a server makes for a request
names the server, the key and the request's id, so that a client can tell a foreign value.
"""
import asyncio
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
START = time.monotonic()


def now_ms():
    return (time.monotonic() - START) * 1000.0


class Record:
    """The lines of record.txt, in the order of events."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def add(self, text):
        self.file.write(f"{now_ms():10.1f} {text}\n")

    def close(self):
        self.file.flush()
        self.file.close()


def free_port():
    """A free port below those that the system gives to outgoing connections, which could take it
    before the node listens."""
    while True:
        port = random.SystemRandom().randrange(12_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass


def run_command():
    """The command of the deploy file that runs a node."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
        return tomllib.load(file)["run"]


class Node:
    """A node: a process started by the deploy file's command from the repository's root."""

    def __init__(self, folder, record, name, config, env=None, pass_fds=()):
        self.name = name
        self.record = record
        self.config_path = os.path.join(folder, f"{name}.json")
        self.write_config(config)
        self.log_path = os.path.join(folder, f"{name}.log")
        tmp = os.path.join(folder, f"{name}.tmp")
        os.makedirs(tmp, exist_ok=True)
        environment = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        environment.update(LB_CONFIG=self.config_path, LB_NAME=name, TMPDIR=tmp, **(env or {}))
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run_command()],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=open(self.log_path, "ab"),
            stderr=subprocess.STDOUT,
            pass_fds=pass_fds,
        )
        record.add(f"node {name}: started, pid {self.process.pid}")

    def write_config(self, config):
        with open(self.config_path + ".new", "w", encoding="utf-8") as file:
            json.dump(config, file)
        os.replace(self.config_path + ".new", self.config_path)

    def signal(self, number):
        self.record.add(f"node {self.name}: signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_running(self):
        return self.process.poll() is None

    def end(self):
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()
            try:
                self.process.wait(6)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read()


async def ready(port, timeout=30.0):
    """Waits until a node answers PING with +PONG."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            if line == b"+PONG\r\n":
                return True
        except (OSError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.05)
    return False


def command(*words):
    out = [b"*%d\r\n" % len(words)]
    for word in words:
        if isinstance(word, str):
            word = word.encode()
        out.append(b"$%d\r\n%s\r\n" % (len(word), word))
    return b"".join(out)


async def read_command(reader):
    """Reads one RESP command; None at the end of the connection."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        return None
    if not line.startswith(b"*"):
        raise ValueError(f"no command: {line!r}")
    words = []
    for _ in range(int(line[1:])):
        header = await reader.readline()
        if not header.endswith(b"\r\n"):
            return None
        body = await reader.readexactly(int(header[1:]) + 2)
        words.append(body[:-2])
    return words


async def read_answer(reader):
    """Reads one answer of a node. Returns its kind and its value or text."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        return ("closed", b"")
    if line.startswith(b"$"):
        size = int(line[1:])
        if size < 0:
            return ("failed", b"nil")
        try:
            body = await reader.readexactly(size + 2)
        except asyncio.IncompleteReadError as error:
            return ("cut", error.partial)
        return ("served", body[:-2])
    if line.startswith(b"-BUSY"):
        return ("refused", line.strip())
    return ("failed", line.strip())


def attributes(words):
    return dict(pair.split("=", 1) for pair in words.decode().split(",") if "=" in pair)


def reset(writer):
    """Resets a connection: its peer reads no end but an error."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Server:
    """A listening stand-in on a loopback address of its own."""

    def __init__(self, record, name):
        self.record = record
        self.name = name
        self.port = None
        self.server = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=8 << 20, backlog=512
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.serve(reader, writer)
        except asyncio.CancelledError:
            pass  # the case ends
        except Exception as error:
            self.record.add(f"{self.name}: connection ended: {type(error).__name__} {error}")
        finally:
            self.writers.discard(writer)
            try:
                writer.close()
            except OSError:
                pass

    async def stop(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Discovery(Server):
    """Discovery's agent: answers at once with what it has, and pushes changes."""

    def __init__(self, record, servers):
        super().__init__(record, "discovery")
        self.version = 1
        self.servers = {server["id"]: server for server in servers}
        self.history = []
        self.changed = asyncio.Condition()
        self.silent = False

    def full(self):
        return {"version": self.version, "full": True, "servers": list(self.servers.values())}

    async def change(self, *entries):
        async with self.changed:
            self.version += 1
            for entry in entries:
                if entry["state"] == "terminated":
                    self.servers.pop(entry["id"], None)
                else:
                    self.servers[entry["id"]] = entry
            self.history.append(
                {"version": self.version, "full": False, "servers": list(entries)}
            )
            self.record.add(f"discovery: version {self.version}: {json.dumps(entries)}")
            self.changed.notify_all()

    async def serve(self, reader, writer):
        request = (await reader.readuntil(b"\r\n\r\n")).decode()
        target = request.split()[1]
        self.record.add(f"discovery: GET {target}")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
        )

        def chunk(text):
            data = text.encode() + b"\n"
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))

        sent = self.version
        chunk(json.dumps(self.full()))
        if "stream=1" not in target:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return
        await writer.drain()
        while True:
            async with self.changed:
                try:
                    await asyncio.wait_for(
                        self.changed.wait_for(lambda: self.version > sent), 2.0
                    )
                except asyncio.TimeoutError:
                    pass
            if self.silent:
                await asyncio.sleep(0.05)
                continue
            news = [entry for entry in self.history if entry["version"] > sent]
            if not news:
                chunk("")
            for entry in news:
                chunk(json.dumps(entry))
                sent = entry["version"]
            await writer.drain()


def listed(id, port, kind="box", state="in_service", zone="store", started_ms=0):
    return {
        "id": id,
        "addr": f"127.0.0.1:{port}",
        "zone": zone,
        "kind": kind,
        "cell": 0,
        "state": state,
        "weight": 1.0,
        "started_ms": started_ms,
    }


class Relay(Server):
    """A proxy that delays each direction by a fixed time, in order and without loss."""

    def __init__(self, record, name, target, delay_ms):
        super().__init__(record, name)
        self.target = target
        self.delay = delay_ms / 1000.0

    async def serve(self, reader, writer):
        there_reader, there_writer = await asyncio.open_connection("127.0.0.1", self.target)
        there_writer.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        loop = asyncio.get_running_loop()

        async def forward(source, sink):
            queue = asyncio.Queue()

            async def deliver():
                while True:
                    due, data = await queue.get()
                    await asyncio.sleep(max(0.0, due - loop.time()))
                    if data is None:
                        if sink.can_write_eof():
                            sink.write_eof()
                        return
                    sink.write(data)

            delivery = asyncio.ensure_future(deliver())
            try:
                while True:
                    data = await source.read(65536)
                    queue.put_nowait((loop.time() + self.delay, data or None))
                    if not data:
                        break
                await delivery
            except OSError:
                delivery.cancel()
                sink.transport.abort()

        await asyncio.gather(
            forward(reader, there_writer), forward(there_reader, writer), return_exceptions=True
        )
        there_writer.close()


SETTINGS = {
    "Balancers": 1,
    "BilledValueBy": "request",
    "Caps": {
        "Cancelling": True,
        "ConnectTimeout": 100.0,
        "CpuUsPerRequest": 10.0,
        "CpuUsPerS": 16000,
        "Keepalive": 15000.0,
        "MaxRetryAfter": 600.0,
        "MaxStreams": 100,
        "MayDuplicate": True,
        "MostHeld": 40000,
        "MostShots": 3,
        "Peers": False,
        "Probing": False,
        "RetryAfter": True,
    },
    "Clients": {"MarksRetry": True},
    "Extra": {
        "Mode": "aside",
        "OriginFall": 3000.0,
        "OriginFallMultiple": 2.5,
        "OriginKind": 1,
    },
    "Family": "cache",
    "Invariants": {
        "AnswerSlack": 20.0,
        "AskWithin": 10000.0,
        "ColdFrom": 0.3,
        "DrainGrace": 400.0,
        "OverloadFactor": 3.0,
        "OverloadFor": 1000.0,
        "WarmWithin": 8700.0,
    },
    "Kinds": ["box", "origin"],
    "Layer": 0,
    "Localities": ["store"],
    "Me": 0,
    "MembershipMode": "pushed",
    "OverageBilledValue": 0.1,
    "Products": [
        {
            "BilledValue": 1.0,
            "ClientTimeout": 1200.0,
            "Effect": "idempotent",
            "KeyScope": "all",
            "LatencySlo": 300.0,
            "Name": "photo-view",
            "Streaming": False,
            "TardyBilledValue": 0.3,
            "Window": 5000.0,
        },
        {
            "BilledValue": 8.0,
            "ClientTimeout": 800.0,
            "Effect": "deduplicated",
            "KeyScope": "all",
            "LatencySlo": 250.0,
            "Name": "sample-request",
            "Streaming": False,
            "TardyBilledValue": 0.3,
            "Window": 800.0,
        },
    ],
    "Projects": [],
    "Report": {"Fields": [], "How": "off"},
    "Round": 5.0,
    "Tiers": ["core-cache"],
    "WeightKind": "nominal",
    "Zone": "store",
}


def node_config(listen, discovery, known, settings=None, **more):
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{listen}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": settings or SETTINGS,
        **more,
    }


def trouble():
    """Whether the disruption is on: it is off with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(main, folder):
    """Runs a case within 110 s. `main` gets the record and a temporary folder, and returns whether
    the rule held. Exits with 0 if it did, 1 if it was broken, and 2 if the case could not run."""
    record = Record(folder)
    nodes = []

    def stop(number, frame):
        raise SystemExit(f"signal {number}")

    # A script that is told to end takes its processes along.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, stop)
    with tempfile.TemporaryDirectory(prefix="quartzhub-review-") as temporary:

        async def bounded():
            return await asyncio.wait_for(main(record, temporary, nodes), 110.0)

        status = 2
        try:
            held = asyncio.run(bounded())
            status = 0 if held else 1
        except BaseException as error:  # the case itself failed
            record.add(f"the case could not run: {type(error).__name__}: {error}")
            print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        finally:
            for node in nodes:
                node.end()
                for line in node.log().splitlines()[-400:]:
                    record.add(f"log of {node.name}: {line}")
            verdict = {0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}
            record.add(verdict[status])
            record.close()
            print(verdict[status])
    sys.stdout.flush()
    os._exit(status)
