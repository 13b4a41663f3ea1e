"""A write of a backend server gets no answer and is executed seconds later, after the server has reported that it
drains."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import bed as b  # noqa: E402

HEARTBEAT_S, EXECUTED_AFTER_S, SERVES_ON_S, REQUESTS_PER_S = 1.5, 5.5, 8.0, 20


async def send_requests(bed, instance, until):
    tasks = []
    while time.monotonic() < until:
        tasks.append(asyncio.create_task(bed.request(instance, "/order/x", 1.5, "POST", body=b"order")))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    return [each[0] for each in await asyncio.gather(*tasks)]


async def play(bed):
    await bed.start(b.configuration([("order", "unsafe", 1.5, 0.25, "s")], ["s"]))
    leaving = bed.servers[0]
    await asyncio.sleep(3)
    start = time.monotonic()
    load = [asyncio.create_task(send_requests(bed, each, start + 4 + SERVES_ON_S)) for each in bed.instances]
    # The write of this heartbeat gets no answer.
    heartbeat = leaving.entry("ready")
    await asyncio.sleep(3.2)
    leaving.is_leaving = True
    acknowledged = leaving.register("draining")
    next_heartbeat = acknowledged + HEARTBEAT_S
    is_executed = not b.has_trouble()
    while time.monotonic() < acknowledged + SERVES_ON_S:
        await asyncio.sleep(0.01)
        if not is_executed and time.monotonic() >= start + EXECUTED_AFTER_S:
            bed.store.put("keyed.servers", leaving.id, heartbeat)
            is_executed = True
        if time.monotonic() >= next_heartbeat:
            leaving.register("draining")
            next_heartbeat += HEARTBEAT_S
    sent = set()
    for each in await asyncio.gather(*load):
        sent.update(each)
    late = [at - acknowledged for at, server, request, *_ in bed.runs
            if server is leaving and request in sent and at > acknowledged + bed.bounds["drainS"]]
    if not late:
        return []
    return [f"DRAIN: {len(late)} requests reached {leaving.id} {late[0]:.2f} to {late[-1]:.2f} s after the store had "
            f"acknowledged that it drains; allowed are {bed.bounds['drainS']} s"]


def make_bed(case):
    bed = b.Bed(case)
    bed.add_instances(3, ["z1"])
    bed.add_servers("s", 4, 4, 0.08)
    return bed


play.bed = make_bed
b.run(FOLDER, play)
