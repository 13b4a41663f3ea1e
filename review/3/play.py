"""Gateways are stopped in turn, as planned, while less urgent orders wait for a slot."""

import asyncio
import pathlib
import signal
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "common"))
import bed as beds  # noqa: E402

WORK_S, SERVERS, SLOTS = 0.36, 4, 2
ORDERS_PER_S, BULK_PER_S = 1.15 * SERVERS * SLOTS / WORK_S, 4.0
LOAD_BEFORE_S, GAP_S = 6.0, 6.0
GRACE_S, LOSS_SLACK_S = beds.BOUNDS["graceS"], beds.BOUNDS["lossSlackS"]
ORDER = ["order", beds.HOST, "/order/", "unsafe", 3.0, 1.0, 1, "cmd", 2, None]
BULK = ["order-bulk", beds.HOST, "/order-bulk/", "unsafe", 10.0, 8.0, 2, "cmd", 2, None]


class Callers:
    """Callers of all gateways that are not being stopped; they send at a steady rate."""

    def __init__(self, bed):
        self.bed, self.stopping, self.tasks = bed, set(), set()

    async def send(self, kind, per_s, deadline_s):
        turn = 0
        while True:
            ready = [each for each in self.bed.gateways if each not in self.stopping]
            turn += 1
            task = asyncio.create_task(self.bed.call(ready[turn % len(ready)], kind=kind, deadline_s=deadline_s))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1 / per_s)


async def play(bed):
    await bed.start([ORDER, BULK])
    callers = Callers(bed)
    senders = [asyncio.create_task(callers.send("order", ORDERS_PER_S, 6.0)),
               asyncio.create_task(callers.send("order-bulk", BULK_PER_S, 20.0))]
    await asyncio.sleep(LOAD_BEFORE_S)
    leader, stops = bed.leaders().get("cmd"), {}
    bed.record.add(f"{leader} allocates the slots; the other gateways are stopped")
    for gateway in [each for each in bed.gateways if each.ip != leader]:
        if bed.with_trouble:
            callers.stopping.add(gateway)
            stops[gateway.name] = bed.record.now()
            gateway.signal(signal.SIGTERM)
            await gateway.ended()
            await asyncio.sleep(0.5)
            gateway.start()
            await bed.until(gateway.is_ready, "readiness after the restart")
            callers.stopping.discard(gateway)
        else:
            await asyncio.sleep(GRACE_S)
        await asyncio.sleep(GAP_S)
    for each in senders:
        each.cancel()
    await asyncio.gather(*callers.tasks)
    ran = {request_id for server in bed.servers for _, request_id in server.runs}
    lost = [each for each in bed.answers
            if each.status is None and each.failure != "TimeoutError" and each.gateway in stops
            and each.sent <= stops[each.gateway] and each.ended <= stops[each.gateway] + GRACE_S + 1
            and each.ended - each.sent > LOSS_SLACK_S and each.id not in ran]
    bed.record.add(f"answers: {len([each for each in bed.answers if each.status == 200])} served, "
                   f"{len([each for each in bed.answers if each.status == 503])} refused, {len(lost)} cut off while they waited")
    return [f"LOST: {each.id} ({each.kind}) was sent to {each.gateway} {stops[each.gateway] - each.sent:.1f} s before its "
            f"SIGTERM, never passed on, and its connection closed without an answer {each.ended - each.sent:.1f} s later"
            for each in lost]


beds.run_case(CASE, play, gateways=3, services={"cmd": SERVERS}, slots=SLOTS, work_s=WORK_S)
