"""Bad clients stop in the middle of large writes; usual writes wait for memory. See claim.txt."""
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from fleet import *

MEMORY_MB = 64           # pages: 32 to 192 MB
BAD_VALUES = [4 << 20] * 6 + [100_000] * 10
USUAL_CLIENTS = 6
VALUE_BYTES = 100_000
WAITS_MS = 640           # 80% of the product's client timeout of 800 ms
# "Up to half a second after its time it only earns nothing", and 50 ms longer on sockets.
LOST_AFTER = WAITS_MS / 1000 + 0.5 + 0.05
SECONDS = 10


async def play(record, nodes):
    caches = [await Cache(record, f"s-{i}").start() for i in range(4)]
    origin = await Origin(record).start()
    discovery = await Discovery(record, [s.entry() for s in caches + [origin]]).start()
    port = free_port()
    node = Node(record, {
        "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery.port}",
        "seed": "5c1d3be07a92f846",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 512}, "settings": settings()})
    nodes.append(node)
    if not await ready(record, port):
        return COULD_NOT_RUN
    ends = now() + SECONDS
    lost, answered, unsent = [], 0, 0

    async def usual(number):
        """Writes 100 kB three times a second on a connection that it keeps. The time of a call
        counts from when its last byte was handed to the system, or later."""
        nonlocal answered, unsent
        await asyncio.sleep(number * 0.1)
        client = Client(record, port)
        while now() < ends:
            await asyncio.sleep(0.3)
            if client.writer is None:
                await client.connect()
            call = Client.new_id("u")
            client.writer.write(command("OBJ.SET", f"k-{number}", call,
                                        f"c=put,d={WAITS_MS},k={call}", b"v" * VALUE_BYTES))
            begun = now()
            while client.writer.transport.get_write_buffer_size() and now() < begun + 5:
                await asyncio.sleep(0.001)
            if client.writer.transport.get_write_buffer_size():
                unsent += 1  # its last byte was never written: not taken
                client.close()
                continue
            written = now()
            try:
                answer = await asyncio.wait_for(client.read_answer(), 5)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
                answer = None
                record(f"client {number}: {call}: {error!r}")
                client.close()
            took = now() - written
            if took > LOST_AFTER:
                lost.append(took)
                record.say(f"client {number}: {call}, d={WAITS_MS}, has its answer {answer!r} "
                           f"{took:.3f} s after its last byte")
            else:
                answered += 1
        client.close()

    async def bad(number, size):
        """Sends half of a write at full speed and stays until it has its error."""
        await asyncio.sleep(3)
        data = command("OBJ.SET", f"bad-{number}", f"bad{number}", "c=put,d=640,k=bad", b"v" * size)
        client = Client(record, port)
        begun = now()
        try:
            await client.connect()
            client.writer.write(data[:len(data) // 2])
            error = await asyncio.wait_for(client.reader.read(200), 7)
            record(f"bad client {number}: got {error!r} after {now() - begun:.2f} s")
        except (OSError, asyncio.TimeoutError) as error:
            record(f"bad client {number}: {error!r} after {now() - begun:.2f} s")
        client.close()

    tasks = [usual(i) for i in range(USUAL_CLIENTS)]
    if TROUBLE:
        tasks += [bad(i, size) for i, size in enumerate(BAD_VALUES)]
    await asyncio.gather(*tasks)
    runs = [call for _, _, _, call, *_ in origin.begun]
    record.say(f"usual clients' writes: {answered} answered in time, {unsent} not sent whole, "
               f"{len(lost)} answered later than {LOST_AFTER:.2f} s, the last after "
               f"{max(lost, default=0):.2f} s; {len(runs)} ran")
    if not node.alive() or answered < 50:
        return COULD_NOT_RUN
    return BROKEN if lost else HELD


main(Path(__file__).resolve().parent, play)
