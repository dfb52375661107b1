"""Discovery writes its lists indented, as the protocol page shows them. See claim.txt."""
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from fleet import *

GRACE = 0.400 + 0.050    # Invariants.DrainGrace, and 50 ms longer on sockets
CLIENTS = 12


def two_lines(update):
    """The form of the protocol page: the entries on lines of their own, indented."""
    head = json.dumps({k: v for k, v in update.items() if k != "servers"}, separators=(",", ":"))
    entries = ",\n  ".join(json.dumps(entry, separators=(",", ":")) for entry in update["servers"])
    return (head[:-1] + ',"servers":[\n  ' + entries + "]}\n").encode()


async def play(record, nodes):
    caches = [await Cache(record, f"s-{i}").start() for i in range(8)]
    origin = await Origin(record).start()
    entries = [server.entry() for server in caches + [origin]]
    discovery = await Discovery(record, entries, two_lines if TROUBLE else one_line).start()
    record(f"discovery: a list looks like {discovery.form(discovery.full())[:300]!r}")
    port = free_port()
    node = Node(record, {
        "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery.port}",
        "seed": "5c1d3be07a92f846", "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
        "known": {"version": 41, "full": True, "servers": entries}, "settings": settings()})
    nodes.append(node)
    if not await ready(record, port):
        return COULD_NOT_RUN
    running = True
    answered = [0]

    async def usual(number):
        client, turn = Client(record, port), 0
        while running:
            turn += 1
            try:
                answer, _ = await client.call("OBJ.GET", f"k-{number}-{turn % 50}",
                                              Client.new_id(), "c=view,d=1200", quiet=True)
                answered[0] += answer is not None
            except OSError as error:
                record(f"client: {error!r}")
                client.close()
            await asyncio.sleep(0.02)
        client.close()

    clients = [asyncio.create_task(usual(i)) for i in range(CLIENTS)]
    await asyncio.sleep(5.3)
    told = {}
    for cache in caches[:3]:
        await discovery.change(cache.entry("terminating"))
        told[cache.name] = now()
        await asyncio.sleep(4.6)
    running = False
    await asyncio.gather(*clients)
    late = 0
    for cache in caches[:3]:
        after = [at - told[cache.name] for at, *_ in cache.begun if at > told[cache.name] + GRACE]
        late += len(after)
        record.say(f"{cache.name}: drains since {told[cache.name] - record.started:.3f} s; "
                   f"{len(after)} calls were sent to it later than {GRACE:.2f} s after that, "
                   f"the last {max(after, default=0):.3f} s after")
    record.say(f"{answered[0]} calls answered, {discovery.watches} watches opened")
    if not node.alive() or answered[0] < 500:
        return COULD_NOT_RUN
    return BROKEN if late else HELD


main(Path(__file__).resolve().parent, play)
