"""Two regions lose each other for half a minute; callers still reach both."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import bed as b  # noqa: E402

RATE, BURST, KEY, OTHER_KEY = 40, 40, "8m82thhkmgjqnirth5mg", "jy5rcpihhacruddedev3"
CUT_S = 30.0
# Each instance gets three quarters of the whole limit.
REQUESTS_PER_S = 30


async def send_requests(bed, instance, until):
    tasks = []
    while time.monotonic() < until:
        tasks.append(asyncio.create_task(bed.request(instance, "/read/x", 1.2, headers={"X-Api-Key": KEY})))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)


async def play(bed):
    tenants = [["t1", [KEY], 0, RATE, BURST], ["t2", [OTHER_KEY], 0, RATE, BURST]]
    await bed.start(b.configuration([("read", "safe", 1.2, 0.2, "s")], ["s"], tenants))
    await asyncio.sleep(5)
    first = [each for each in bed.instances if each.zone == "z1"]
    second = [each for each in bed.instances if each.zone == "z2"]
    start = time.monotonic()
    load = [asyncio.create_task(send_requests(bed, each, start + CUT_S)) for each in bed.instances]
    if b.has_trouble():
        bed.record.write("cut")
        bed.links.cut(first, second)
    await asyncio.gather(*load)
    return b.check_quota(bed, start, RATE, BURST, KEY)


def make_bed(case):
    bed = b.Bed(case, regions={"z1": "r1", "z2": "r2"},
                bounds={"quotaWindowS": 5, "quotaOverage": 0.1, "quotaSlack": 20, "configApplyS": 2.5})
    bed.add_instances(4, ["z1", "z2"])
    bed.add_servers("s", 8, 4, 0.02)
    return bed


play.bed = make_bed
b.run(FOLDER, play)
