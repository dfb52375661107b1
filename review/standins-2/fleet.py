"""Stand-ins for the scripts of cases 6 to 10: cache servers, origin, discovery, clients, and the
platform that starts a node with the `run` command of deploy/balancer.toml.

Everything listens on 127.0.0.1 at free ports. All times are those of the real clock.
"""
import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def now():
    return time.monotonic()


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.started = now()
        self.file = open(Path(folder) / "record.txt", "w")
        self(f"TROUBLE={int(TROUBLE)}")

    def __call__(self, text):
        self.file.write(f"{now() - self.started:9.4f} {text}\n")

    def say(self, text):
        self(text)
        print(text, flush=True)
        self.file.flush()


def run_command():
    text = (ROOT / "deploy" / "balancer.toml").read_text()
    return re.search(r'^run\s*=\s*"(.*)"', text, re.M).group(1)


class Node:
    """A node as the platform starts it: by `/bin/sh -c` from the root, with its configuration."""

    def __init__(self, record, config, name="n0", listener=None):
        """`listener` is the platform's listening socket, inherited as descriptor 4."""
        self.record = record
        self.name = name
        self.folder = Path(tempfile.mkdtemp(prefix="review2-"))
        self.config_path = self.folder / "config.json"
        self.write_config(config)
        env = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        env.update(LB_NAME=name, LB_CONFIG=str(self.config_path), TMPDIR=str(self.folder))
        env["LB_LISTEN"] = config["listen"]
        if "discovery" in config:
            env["LB_DISCOVERY"] = config["discovery"]
        if "ops" in config:
            env["LB_OPS"] = config["ops"]
        self.log = open(self.folder / "log.txt", "wb")
        start, inherited = ["/bin/sh", "-c", run_command()], ()
        if listener is not None:
            env["LB_INHERITED_FD"] = "4"
            inherited = (listener.fileno(),)
            if listener.fileno() != 4:
                move = f"exec 4<&{listener.fileno()} {listener.fileno()}<&-; " + 'exec "$@"'
                start = ["bash", "-c", move, "platform"] + start
        self.process = subprocess.Popen(
            start, cwd=ROOT, env=env, pass_fds=inherited,
            stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        record(f"platform: started node {name}, pid {self.process.pid}, "
               f"listen {config['listen']}")

    def write_config(self, config):
        """Replaces the file as a whole."""
        temporary = self.folder / "config.new"
        temporary.write_text(json.dumps(config))
        os.replace(temporary, self.config_path)

    def alive(self):
        return self.process.poll() is None

    def signal(self, number):
        self.record(f"platform: {signal.Signals(number).name} to node {self.name}")
        if self.alive():
            self.process.send_signal(number)

    def status_kb(self, field):
        try:
            for line in open(f"/proc/{self.process.pid}/status"):
                if line.startswith(field + ":"):
                    return int(line.split()[1])
        except OSError:
            pass
        return 0

    def end(self):
        if self.alive():
            self.process.kill()
        self.process.wait()
        self.log.close()
        for line in (self.folder / "log.txt").read_text(errors="replace").splitlines()[-60:]:
            self.record(f"log of {self.name}: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


async def ready(record, port, within=10.0):
    """Waits until PING is answered with +PONG."""
    until = now() + within
    while now() < until:
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", port), 1)
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            if line == b"+PONG\r\n":
                record(f"platform: node at port {port} is ready")
                return True
        except (OSError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.02)
    return False


def bulk(value):
    return b"$-1\r\n" if value is None else b"$%d\r\n%s\r\n" % (len(value), value)


def command(*words):
    words = [w if isinstance(w, bytes) else w.encode() for w in words]
    return b"*%d\r\n" % len(words) + b"".join(bulk(w) for w in words)


async def read_command(reader):
    """Reads one command; None at the end of the connection."""
    line = await reader.readline()
    if not line.endswith(b"\r\n") or line[:1] != b"*":
        return None
    words = []
    for _ in range(int(line[1:])):
        size = await reader.readline()
        words.append((await reader.readexactly(int(size[1:]) + 2))[:-2])
    return words


def facts(text):
    return dict(pair.split("=", 1) for pair in text.decode().split(",") if "=" in pair)


class Cache:
    """A cache server that holds the values that `value_of` gives; subclasses change `answer`."""

    def __init__(self, record, name, value_of=None):
        self.record, self.name = record, name
        self.value_of = value_of or (lambda key: b"value-of-" + key)
        self.begun = []          # (time, command, key, id, d)
        self.writers = set()
        self.started_ms = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 23,
                                                 backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def entry(self, state="in_service", kind="box", zone="store"):
        return {"id": self.name, "addr": f"127.0.0.1:{self.port}", "zone": zone, "kind": kind,
                "cell": 0, "state": state, "weight": 1.0, "started_ms": self.started_ms}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                words = await read_command(reader)
                if words is None:
                    return
                name = words[0].upper()
                if name in (b"OBJ.GET", b"OBJ.SET"):
                    key, call, list_ = words[1], words[2].decode(), facts(words[3])
                    self.begun.append((now(), name, key, call, list_.get("d")))
                    self.record(f"{self.name}: began {name.decode()} {key.decode()} {call} "
                                f"d={list_.get('d')}")
                    await self.answer(writer, name, key, call, list_)
                elif name == b"PING":
                    writer.write(b"+PONG\r\n")
                else:
                    writer.write(b"-ERR unknown\r\n")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, writer, name, key, call, list_):
        await asyncio.sleep(0.003)
        writer.write(b"*3\r\n" + bulk(self.value_of(key)) + bulk(b"hit") + bulk(None))


class Origin:
    """The origin: HTTP/1.1, answers GET and PUT."""

    def __init__(self, record, name="origin", value_of=None, work=0.01):
        self.record, self.name, self.work = record, name, work
        self.value_of = value_of or (lambda key: b"value-of-" + key)
        self.begun = []
        self.started_ms = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 23,
                                                 backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def entry(self, state="in_service", zone="store"):
        return {"id": self.name, "addr": f"127.0.0.1:{self.port}", "zone": zone, "kind": "origin",
                "cell": 0, "state": state, "weight": 1.0, "started_ms": 0}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                method, path, _ = lines[0].split(" ")
                fields = {k.lower(): v.strip() for k, v in
                          (line.split(":", 1) for line in lines[1:] if ":" in line)}
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                key, call = path[1:].encode(), fields.get("x-correlation-id", "")
                list_ = facts(fields.get("x-facts", "").encode())
                self.begun.append((now(), method, key, call, list_.get("d"), list_.get("k")))
                self.record(f"{self.name}: began {method} {path} {call} d={list_.get('d')} "
                            f"({len(body)} bytes)")
                await self.answer(writer, method, key, call)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, writer, method, key, call):
        await asyncio.sleep(self.work)
        value = self.value_of(key) if method == "GET" else b"receipt-" + call.encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(value) + value)


def one_line(update):
    return json.dumps(update, separators=(",", ":")).encode() + b"\n"


class Discovery:
    """The agent on a node's machine. It answers a watch at once with what it has, writes each
    change at once, and an empty line after 2 s without one. While `down` it is silent: it takes
    connections and writes nothing."""

    def __init__(self, record, entries=(), form=one_line, name="discovery"):
        self.record, self.form, self.name = record, form, name
        self.entries = {entry["id"]: entry for entry in entries}
        self.version = 41
        self.changes = []        # (version, entry)
        self.down = False
        self.changed = asyncio.Condition()
        self.told = {}           # id -> time at which its present state was first written
        self.watches = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def full(self):
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    async def change(self, *entries):
        self.version += 1
        for entry in entries:
            self.record(f"{self.name}: has version {self.version}: {entry['id']} {entry['state']}")
            self.entries[entry["id"]] = entry
            if entry["state"] == "terminated":
                del self.entries[entry["id"]]
            self.changes.append((self.version, entry))
        async with self.changed:
            self.changed.notify_all()

    async def set_down(self, down):
        self.down = down
        self.record(f"{self.name}: {'silent' if down else 'back'}")
        async with self.changed:
            self.changed.notify_all()

    async def wait_change(self, seconds):
        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait(), seconds)
                return True
            except asyncio.TimeoutError:
                return False

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            while self.down:
                await self.wait_change(1)
                if writer.is_closing() or reader.at_eof():
                    return
            index = re.search(r"index=(\d+)", head)
            stream = "stream=1" in head
            if not stream:
                body = self.form(self.full())
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                return
            self.watches += 1
            known = int(index.group(1)) if index else 0
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            first = True
            while True:
                if not self.down:
                    newer = [e for v, e in self.changes if v > known]
                    if first and (known == 0 or known < 41 or known > self.version):
                        self.send(writer, self.form(self.full()), "the whole list")
                    elif newer:
                        self.send(writer, self.form({"version": self.version, "full": False,
                                                     "servers": newer}), f"to {self.version}")
                    elif not first:
                        self.send(writer, b"\n", None)
                    first = False
                    known = self.version
                    await writer.drain()
                if reader.at_eof():
                    return
                if self.down:
                    await self.wait_change(0.5)
                    continue
                last = self.version
                until = now() + 2
                while now() < until and self.version == last and not self.down:
                    await self.wait_change(until - now())
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def send(self, writer, body, what):
        if what:
            self.record(f"{self.name}: writes {what}")
        writer.write(b"%x\r\n%s\r\n" % (len(body), body))


class Client:
    """A client's connection, one call at a time."""

    count = 0

    def __init__(self, record, port):
        self.record, self.port = record, port
        self.reader = self.writer = None

    @staticmethod
    def new_id(prefix="c"):
        Client.count += 1
        return f"{prefix}{os.getpid():x}{Client.count:010x}"

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port,
                                                                 limit=1 << 23)
        self.writer.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return self

    def close(self):
        if self.writer:
            self.writer.close()
        self.writer = None

    async def read_answer(self):
        """Returns the answer: bytes of a value, or a line that starts with '-'; raises at a
        close."""
        line = await self.reader.readline()
        if not line.endswith(b"\r\n"):
            raise ConnectionError("closed with no whole answer")
        if line[:1] == b"$":
            size = int(line[1:])
            if size < 0:
                return line
            value = await self.reader.readexactly(size + 2)
            return b"$" + value[:-2]
        return line[:-2]

    async def call(self, *words, timeout=5.0, quiet=False):
        """Sends a command and returns (answer or None, seconds)."""
        started = now()
        if self.writer is None:
            await self.connect()
        self.writer.write(command(*words))
        if not quiet:
            self.record(f"client: sends {b' '.join(w if isinstance(w, bytes) else w.encode() for w in words[:4])[:120].decode()}")
        try:
            answer = await asyncio.wait_for(self.read_answer(), timeout)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            self.record(f"client: {words[2] if len(words) > 2 else words[0]} no answer: {error!r}")
            self.close()
            return None, now() - started
        if not quiet:
            name = words[2] if len(words) > 2 else words[0]
            self.record(f"client: {name} answered {answer[:60].decode(errors='replace')} "
                        f"({len(answer)} bytes) after {now() - started:.3f} s")
        return answer, now() - started


def settings(**changes):
    """Settings of a small deployment."""
    base = {
        "Balancers": 1, "Me": 0, "Zone": "store", "Localities": ["store"],
        "Kinds": ["box", "origin"], "MembershipMode": "pushed", "WeightKind": "off",
        "Extra": {"Mode": "aside", "OriginKind": 1},
        "Caps": {"MostShots": 3, "MayDuplicate": True, "Cancelling": True, "RetryAfter": True,
                 "MaxRetryAfter": 600, "ConnectTimeout": 100, "Keepalive": 15000, "Peers": True,
                 "MostHeld": 40000},
        "Invariants": {"AnswerSlack": 20, "DrainGrace": 400, "ColdFrom": 0.3, "WarmWithin": 8700,
                       "OverloadFactor": 3, "OverloadFor": 1000},
        "Products": [
            {"Name": "view", "Effect": "idempotent", "KeyScope": "all", "Window": 5000,
             "LatencySlo": 300, "ClientTimeout": 1200, "BilledValue": 1, "TardyBilledValue": 0.3},
            {"Name": "put", "Effect": "deduplicated", "KeyScope": "all", "Window": 800,
             "LatencySlo": 250, "ClientTimeout": 800, "BilledValue": 8, "TardyBilledValue": 0.3},
        ],
    }
    for name, value in changes.items():
        if isinstance(value, dict):
            base[name] = {**base[name], **value}
        else:
            base[name] = value
    return base


def main(folder, play):
    """Runs a case within its time, ends with 0, 1 or 2."""
    record = Record(folder)
    if not (ROOT / "target/release/quartzhub").exists():
        record.say("could not run: the node is not built")
        sys.exit(COULD_NOT_RUN)
    nodes = []
    verdict = COULD_NOT_RUN

    def told_to_end(*_):
        raise SystemExit(COULD_NOT_RUN)

    signal.signal(signal.SIGTERM, told_to_end)

    async def limited():
        return await asyncio.wait_for(play(record, nodes), 110)

    try:
        verdict = asyncio.run(limited())
    except asyncio.TimeoutError:
        record.say("could not run: no verdict within 110 s")
        verdict = COULD_NOT_RUN
    except Exception as error:  # a fault of the case itself
        import traceback
        record.say(f"could not run: {error!r}")
        record(traceback.format_exc())
        verdict = COULD_NOT_RUN
    finally:
        for node in nodes:
            node.end()
    record.say({HELD: "the rule held", BROKEN: "the rule was broken",
                COULD_NOT_RUN: "the case could not run"}[verdict])
    record.file.close()
    sys.exit(verdict)
