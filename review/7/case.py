"""The instance that reads the store for all is killed and starts again; meanwhile some backend servers are removed."""

import asyncio
import pathlib
import signal
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "common-2"))
import bed as b  # noqa: E402

SERVICES, SERVERS_PER_SERVICE = ["s1", "s2", "s3", "s4"], 7
REMOVED_AFTER_S, RESTARTED_AFTER_S, SERVES_ON_S, REQUESTS_PER_S = 0.05, 0.25, 9.0, 15


async def send_requests(bed, instance, service, until):
    tasks = []
    while time.monotonic() < until:
        tasks.append(asyncio.create_task(bed.request(instance, f"/{service}/x", 1.5, "POST", body=b"order")))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    return [(request, instance.name, status) for request, status, _ in await asyncio.gather(*tasks)]


async def find_reader(bed):
    """The instance that waits at the store for changes of the servers, just after it has told the others of a read."""
    seen = len(bed.store.calls)
    end = time.monotonic() + 5
    while time.monotonic() < end:
        await asyncio.sleep(0.01)
        for _, ip, line in bed.store.calls[seen:]:
            if "/log-read?topic=keyed.servers" in line:
                return next(each for each in bed.instances if each.store_ip == ip)
        seen = len(bed.store.calls)
    raise b.CannotRun("no instance reads the store")


async def play(bed):
    await bed.start(b.configuration([(each, "unsafe", 1.5, 0.25, each) for each in SERVICES], SERVICES))
    await asyncio.sleep(5)
    reader = await find_reader(bed)
    others = [each for each in bed.instances if each is not reader]
    leaving = [next(each for each in bed.servers if each.service == service) for service in SERVICES]
    if b.has_trouble():
        reader.signal(signal.SIGKILL)
        reader.process.wait()
    await asyncio.sleep(REMOVED_AFTER_S)
    # These servers do not report that they drain: their entries are removed, and they serve on for a while.
    for each in leaving:
        acknowledged = each.remove()
    if b.has_trouble():
        await asyncio.sleep(RESTARTED_AFTER_S - REMOVED_AFTER_S)
        reader.start()
    await asyncio.sleep(1)
    end = acknowledged + SERVES_ON_S
    load = [asyncio.create_task(send_requests(bed, each, service, end + 1)) for each in others for service in SERVICES]
    await asyncio.sleep(end - time.monotonic())
    for each in leaving:
        bed.record.write("end", server=each.id)
        each.stop()
    sent = {request: (name, status) for each in await asyncio.gather(*load) for request, name, status in each}
    late = [(at - acknowledged, server.id, request) for at, server, request, *_ in bed.runs
            if server in leaving and request in sent and at > acknowledged + bed.bounds["drainS"]]
    if not late:
        return []
    names = sorted({sent[request][0] for _, _, request in late})
    lost = sum(1 for _, _, request in late if sent[request][1] not in (200, None))
    return [f"DRAIN: {len(late)} requests taken by {', '.join(names)}, which nothing disturbed, reached "
            f"{', '.join(sorted({server for _, server, _ in late}))} later than {bed.bounds['drainS']} s after the store had "
            f"acknowledged their removal, the last one {late[-1][0]:.1f} s after; {lost} of them ran and were lost when "
            "these servers ended"]


def make_bed(case):
    bed = b.Bed(case)
    bed.add_instances(3, ["z1"])
    for service in SERVICES:
        bed.add_servers(service, SERVERS_PER_SERVICE, 2, 0.078)
    return bed


play.bed = make_bed
b.run(CASE, play)
