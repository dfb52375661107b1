"""A cache server breaks off a large value; answers before it are cut as well. See claim.txt."""
import struct
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from fleet import *

ROUNDS = 4
CLIENTS = 5
FIRST = 4                # reads ahead of the large one, 60 kB each
READS_AFTER = 0.8        # 2.7 times the latency SLO of 0.3 s; pages: 2.4 to 4.7 times
CALL = "c=view,d=960"    # 80% of the client timeout


def value_of(key):
    """`first-...`: 60 kB. `large-...`: 300 kB, passed on as it comes. `small-...`: some bytes."""
    size = {b"f": 60_000, b"l": 300_000}.get(key[:1], 20)
    return ((b"<" + key + b">") * (size // (len(key) + 2) + 1))[:size]


class Resetting(Cache):
    """A sound cache server; with the disruption, it resets the connection amid a large value."""

    async def answer(self, writer, name, key, call, list_):
        await asyncio.sleep(0.005)
        data = b"*3\r\n" + bulk(self.value_of(key)) + bulk(b"hit") + bulk(None)
        if key.startswith(b"large"):
            writer.write(data[:len(data) // 2])
            await writer.drain()
            await asyncio.sleep(0.3)
            if TROUBLE:
                self.record(f"{self.name}: resets the connection under {call}")
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()
                return
            data = data[len(data) // 2:]
        writer.write(data)


def first_keys(number):
    return [f"first-{number}-{position}" for position in range(FIRST)]


def pipelining_client(port, number):
    """Sends some reads at once and one more 0.1 s later, then reads the answers. Returns the bytes
    received, the error at the end if any, and the seconds since its first byte."""
    keys = first_keys(number) + [f"large-{number}"]
    calls = b"".join(command("OBJ.GET", key, f"id-{key}", CALL) for key in keys)
    with socket.socket() as connection:
        connection.settimeout(5)
        connection.connect(("127.0.0.1", port))
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        started = now()
        connection.sendall(calls)
        time.sleep(0.1)
        connection.sendall(command("OBJ.GET", f"small-{number}", f"id-small-{number}", CALL))
        time.sleep(READS_AFTER - 0.1)
        received, error = b"", None
        try:
            while received.count(b"\r\n") < 2 * (len(keys) + 1):
                part = connection.recv(65536)
                if not part:
                    break
                received += part
        except OSError as failed:
            error = failed
        return received, error, now() - started


def whole_answers(received, number):
    """How many of the first reads have a whole answer: the value, or an error line."""
    whole = 0
    for key in first_keys(number):
        answer = bulk(value_of(key.encode()))
        if received[:1] == b"-" and b"\r\n" in received:
            answer = received[:received.index(b"\r\n") + 2]
        if not received.startswith(answer):
            break
        received = received[len(answer):]
        whole += 1
    return whole


async def play(record, nodes):
    caches = [await Resetting(record, f"s-{i}", value_of).start() for i in range(4)]
    origin = await Origin(record, value_of=value_of).start()
    discovery = await Discovery(record, [s.entry() for s in caches + [origin]]).start()
    port = free_port()
    node = Node(record, {
        "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery.port}",
        "seed": "5c1d3be07a92f846", "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
        "settings": settings()})
    nodes.append(node)
    if not await ready(record, port):
        return COULD_NOT_RUN
    lost = 0

    async def one(number):
        nonlocal lost
        received, error, took = await asyncio.to_thread(pipelining_client, port, number)
        whole = whole_answers(received, number)
        record(f"client {number}: {len(received)} bytes after {took:.3f} s, {error!r}; "
               f"{whole} of {FIRST} first answers whole; ends {received[-30:]!r}")
        if whole < FIRST:
            lost += FIRST - whole
            record.say(f"client {number}: {whole} of {FIRST} answers ahead of the large value are "
                       f"whole, then the connection ends: {error!r}")

    for turn in range(ROUNDS):
        await asyncio.gather(*(one(turn * CLIENTS + i) for i in range(CLIENTS)))
    record.say(f"{lost} of {ROUNDS * CLIENTS * FIRST} calls ahead of a large value lost")
    if not node.alive():
        return COULD_NOT_RUN
    return BROKEN if lost else HELD


main(Path(__file__).resolve().parent, play)
