"""A gateway is killed while requests of it wait for a slot, and starts again."""

import asyncio
import pathlib
import signal
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "common"))
import bed as beds  # noqa: E402

SERVICES = {"north": 2, "south": 2, "east": 2, "west": 2}
WORK_S, TARGET_S, TIMEOUT_S, DEADLINE_S = 1.1, 2.5, 10.0, 20.0
RESTART_S = 0.5
WAITING = 3


def kind_of(service):
    return f"order-{service}"


def order(bed, gateway, service):
    return asyncio.create_task(bed.call(gateway, kind=kind_of(service), deadline_s=DEADLINE_S))


async def play(bed):
    await bed.start([[kind_of(name), beds.HOST, f"/{kind_of(name)}/", "unsafe", TIMEOUT_S, TARGET_S, 1, name, 2, None]
                     for name in SERVICES])
    await asyncio.sleep(3.0)
    by_service = bed.leaders()
    bed.record.add(f"slots are allocated by {by_service}")
    # There are more services than gateways, so that one of these allocates the slots of two.
    led = {gateway: [name for name, ip in by_service.items() if ip == gateway.ip] for gateway in bed.gateways}
    leader = max(bed.gateways, key=lambda each: len(led[each]))
    if len(led[leader]) < 2:
        raise beds.CannotRun("no gateway allocates the slots of two services")
    first, second = led[leader][:2]
    killed = next(each for each in bed.gateways if each is not leader)
    other = next(each for each in bed.gateways if each not in (leader, killed))
    capacity = 2 * SERVICES[first]
    bed.record.add(f"{leader.name} allocates the slots of {first} and {second}; {killed.name} is killed")
    tasks = []
    # Callers of the other gateways keep both services busy for the whole case.
    for _ in range(3):
        for service in (first, second):
            tasks += [order(bed, other, service) for _ in range(capacity)]
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.1)
    tasks += [order(bed, killed, first) for _ in range(WAITING)]
    await asyncio.sleep(0.2)
    if bed.with_trouble:
        killed.signal(signal.SIGKILL)
        await killed.ended()
        await asyncio.sleep(RESTART_S)
        killed.start()
        await bed.until(killed.is_ready, "readiness after the restart")
    tasks += [order(bed, killed, second) for _ in range(WAITING)]
    await asyncio.gather(*tasks)
    await asyncio.sleep(0.5)
    wanted = {answer.id: answer.kind for answer in bed.answers}
    breaches = []
    for server in bed.servers:
        for when, request_id in server.runs:
            if wanted[request_id] != kind_of(server.service):
                answer = next(each for each in bed.answers if each.id == request_id)
                breaches.append(f"ROUTE: {request_id} ({wanted[request_id]}) was run by {server.id} of {server.service} "
                                f"at {when:.1f} s; its caller got {answer.status} {answer.body!r}")
    return breaches


beds.run_case(CASE, play, gateways=3, services=SERVICES, work_s=WORK_S)
