"""One availability zone of four is partitioned from the others for 5 s while tenants send more than their limits."""

import asyncio
import pathlib
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "common-2"))
import bed as b  # noqa: E402

RATE, BURST = 40, 40
# Each tenant has its own owner of the quota; the addresses, and with them the owners, differ from run to run.
KEYS = ["8m82thhkmgjqnirth5mg", "jy5rcpihhacruddedev3", "q1x7c0v9wz5kd2ya8mre", "t4hn6bs3gu0pf9lj2oix"]
ZONES, INSTANCES, PRESS = ["z1", "z2", "z3", "z4"], 28, 3
CUT_AFTER_S, CUT_S, PLAYED_S = 1.0, 5.0, 12.0


async def send_requests(bed, instance, number, key, until):
    pause = INSTANCES / (RATE * PRESS)
    await asyncio.sleep(pause * number / INSTANCES)
    tasks = []
    while time.monotonic() < until:
        tasks.append(asyncio.create_task(bed.request(instance, "/read/x", 1.2, headers={"X-Api-Key": key})))
        await asyncio.sleep(pause)
    await asyncio.gather(*tasks)


async def play(bed):
    tenants = [[f"t{i}", [key], 0, RATE, BURST] for i, key in enumerate(KEYS)]
    await bed.start(b.configuration([("read", "safe", 1.2, 0.2, "s")], ["s"], tenants))
    await asyncio.sleep(8)
    start = time.monotonic()
    load = [asyncio.create_task(send_requests(bed, each, i, key, start + PLAYED_S))
            for i, each in enumerate(bed.instances) for key in KEYS]
    await asyncio.sleep(CUT_AFTER_S)
    if b.has_trouble():
        bed.record.write("cut", zone=ZONES[-1])
        bed.links.cut([each for each in bed.instances if each.zone == ZONES[-1]],
                      [each for each in bed.instances if each.zone != ZONES[-1]])
    await asyncio.sleep(CUT_S)
    bed.record.write("heal")
    bed.links.heal()
    await asyncio.gather(*load)
    return [each for key in KEYS for each in b.check_quota(bed, start, RATE, BURST, key)]


def make_bed(case):
    bed = b.Bed(case, regions={each: "r1" for each in ZONES},
                bounds={"quotaWindowS": 5, "quotaOverage": 0.1, "quotaSlack": 20, "configApplyS": 2.5})
    bed.add_instances(INSTANCES, ZONES)
    bed.add_servers("s", 16, 4, 0.02)
    return bed


play.bed = make_bed
b.run(CASE, play)
