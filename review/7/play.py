"""Cache servers answer some reads with a length that doesn't fit. See claim.txt."""
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from fleet import *

CALLS = 1500
CLIENTS = 10
SPOILT_SHARE = 0.2
MOST_TOO_LONG = 16       # a spoilt length is 1 to 16 bytes too long, each as likely


def value_of(key):
    return b"log-of-" + key + b":" + key[::-1] * 3


class Spoiling(Cache):
    """A sound cache server; with the disruption, one answer in five states a wrong length."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.random = random.Random(self.name)
        self.spoilt = {}

    async def answer(self, writer, name, key, call, list_):
        await asyncio.sleep(0.003)
        value = self.value_of(key)
        stated = len(value)
        if TROUBLE and self.random.random() < SPOILT_SHARE:
            stated += self.random.randint(1, MOST_TOO_LONG)
            self.spoilt[call] = stated - len(value)
            self.record(f"{self.name}: spoils {call}: states {stated} bytes for {len(value)}")
        writer.write(b"*3\r\n$%d\r\n%s\r\n" % (stated, value) + bulk(b"hit") + bulk(None))


async def play(record, nodes):
    caches = [await Spoiling(record, f"s-{i}", value_of).start() for i in range(6)]
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
    wrong, served, failed = [], 0, 0

    async def usual(number):
        nonlocal served, failed
        client = Client(record, port)
        for turn in range(CALLS // CLIENTS):
            key, call = f"hole-{number}-{turn}", Client.new_id()
            answer, _ = await client.call("OBJ.GET", key, call, "c=view,d=1200", quiet=True)
            if answer is None or answer[:1] != b"$":
                failed += 1
                record(f"client: {call} failed: {answer!r}")
            elif answer[1:] != value_of(key.encode()):
                wrong.append(call)
                record.say(f"client: {call} for {key} was served {answer[1:]!r}, "
                           f"and the value is {value_of(key.encode())!r}")
            else:
                served += 1
        client.close()

    await asyncio.gather(*(usual(i) for i in range(CLIENTS)))
    spoilt = sum(len(cache.spoilt) for cache in caches)
    record.say(f"{served} served right, {failed} failed, {len(wrong)} served wrong; "
               f"{spoilt} answers of caches were spoilt")
    if not node.alive() or served < CALLS / 2:
        return COULD_NOT_RUN
    return BROKEN if wrong else HELD


main(Path(__file__).resolve().parent, play)
