"""Backend servers register and are taken away again before the next read of the store."""

import asyncio
import pathlib
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "common-2"))
import bed as b  # noqa: E402

SERVICES, ADDED_PER_SERVICE = ["s1", "s2", "s3", "s4"], 3
EVERY_S, REMOVED_AFTER_S, SERVES_ON_S, REQUESTS_PER_S = 0.025, 0.05, 8.0, 22


async def send_requests(bed, instance, service, until):
    tasks = []
    while time.monotonic() < until:
        tasks.append(asyncio.create_task(bed.request(instance, f"/{service}/x", 1.5, "POST", body=b"order")))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    return [request for request, _, _ in await asyncio.gather(*tasks)]


async def add_and_remove(server, start):
    """Registers a server and takes it away. It does not report that it drains: its entry is removed, and it serves on.
    Returns the time of the acknowledgement."""
    await asyncio.sleep(start - time.monotonic())
    server.register()
    # Without the trouble it stays for longer than an instance waits between two reads.
    await asyncio.sleep(REMOVED_AFTER_S if b.has_trouble() else 1)
    return server.remove()


async def play(bed):
    await bed.start(b.configuration([(each, "unsafe", 1.5, 0.25, each) for each in SERVICES], SERVICES))
    await asyncio.sleep(3)
    first = len(bed.servers)
    for _ in range(ADDED_PER_SERVICE):
        for service in SERVICES:
            bed.add_servers(service, 1, 2, 0.078)
    added = bed.servers[first:]
    for each in added:
        await each.start()
    begin = time.monotonic() + 0.1
    removed = await asyncio.gather(*[add_and_remove(each, begin + EVERY_S * i) for i, each in enumerate(added)])
    acknowledged = dict(zip((each.id for each in added), removed))
    load = [asyncio.create_task(send_requests(bed, each, service, max(removed) + SERVES_ON_S))
            for each in bed.instances for service in SERVICES]
    sent = set()
    for each in await asyncio.gather(*load):
        sent.update(each)
    late = [(server.id, at - acknowledged[server.id]) for at, server, request, *_ in bed.runs
            if server in added and request in sent and at > acknowledged[server.id] + bed.bounds["drainS"]]
    if not late:
        return []
    return [f"DRAIN: {len(late)} requests reached {', '.join(sorted({server for server, _ in late}))} later than "
            f"{bed.bounds['drainS']} s after the store had acknowledged their removal, the last one "
            f"{max(after for _, after in late):.1f} s after"]


def make_bed(case):
    bed = b.Bed(case)
    bed.add_instances(3, ["z1"])
    for service in SERVICES:
        bed.add_servers(service, 4, 2, 0.078)
    return bed


play.bed = make_bed
b.run(CASE, play)
