"""Bad clients send writes of 4 MiB whose array length is wrong by one. See claim.txt."""
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from fleet import *

MEMORY_MB = 192          # the most that a node has on the days that are scored
BAD_CLIENTS = 64
VALUE_BYTES = 4 << 20
USUAL_CLIENTS = 10
SECONDS = 12


async def play(record, nodes):
    caches = [await Cache(record, f"s-{i}").start() for i in range(4)]
    origin = await Origin(record).start()
    discovery = await Discovery(record, [s.entry() for s in caches + [origin]]).start()
    port = free_port()
    node = Node(record, {
        "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery.port}",
        "seed": "5c1d3be07a92f846",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024},
        "settings": settings()})
    nodes.append(node)
    if not await ready(record, port):
        return COULD_NOT_RUN
    ends = now() + SECONDS
    killed = []
    most = [0]

    async def platform():
        """Kills the node when its own memory (anonymous pages alone) is over its limit."""
        while now() < ends:
            used_kb = node.status_kb("RssAnon")
            most[0] = max(most[0], used_kb)
            if used_kb > MEMORY_MB * 1024:
                record(f"platform: node uses {used_kb} kB, over {MEMORY_MB} MiB")
                node.signal(signal.SIGKILL)
                killed.append(used_kb)
                return
            if not node.alive():
                return
            await asyncio.sleep(0.005)

    answers = {"answered": 0, "unanswered": 0}

    async def usual(number):
        client = Client(record, port)
        while now() < ends and node.alive():
            answer = None
            try:
                answer, _ = await client.call("OBJ.GET", f"k-{number}", Client.new_id(),
                                              "c=view,d=1200", quiet=True)
            except OSError as error:
                record(f"client: usual client {number}: {error!r}")
                client.close()
            answers["answered" if answer else "unanswered"] += 1
            await asyncio.sleep(0.05)
        client.close()

    async def writer(number):
        """A bad client; without the disruption, one whose write is well formed."""
        await asyncio.sleep(2)
        call = Client.new_id("w")
        data = command("OBJ.SET", f"w-{number}", call, f"c=put,d=800,k={call}", b"v" * VALUE_BYTES)
        if TROUBLE:
            data = data.replace(b"*5\r\n", b"*6\r\n", 1)
        client = Client(record, port)
        try:
            await client.connect()
            record(f"client: sends {data[:40]!r}... of {len(data)} bytes")
            client.writer.write(data)
            answer = await asyncio.wait_for(client.read_answer(), 6)
            record(f"client: {call} answered {answer[:60]!r}")
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            record(f"client: {call} ended: {error!r}")
        client.close()

    tasks = [platform()] + [usual(i) for i in range(USUAL_CLIENTS)]
    tasks += [writer(i) for i in range(BAD_CLIENTS)]
    await asyncio.gather(*tasks)
    record.say(f"node used {most[0]} kB at most, of {MEMORY_MB * 1024}; usual clients' calls: "
               f"{answers['answered']} answered, {answers['unanswered']} without an answer")
    return BROKEN if killed or not node.alive() else HELD


main(Path(__file__).resolve().parent, play)
