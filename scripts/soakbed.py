"""Processes, proxies and callers for scripts/soak, all on loopback addresses."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
CALLER_PORT, READY_PORT, ADDRESS_PORT, PEER_PORT = 18381, 18388, 18383, 17200
STORE_PORT, SERVER_PORT, CONTROL_PORT = 18384, 18080, 18090
CONNECT_TIMEOUT_S, ADDRESS_TIMEOUT_S, START_TIMEOUT_S = 1.0, 1.0, 20.0
SERVICES = {"read": "s", "order": "s", "list": "t"}
HOST = "soak.example"


def service_of(kind):
    return SERVICES.get(kind, "s")


class Request:
    """One attempt of a caller, and what came of it."""

    def __init__(self, request_id, kind, instance, sent):
        self.id, self.kind, self.instance, self.sent = request_id, kind, instance, sent
        self.method = "POST" if kind == "order" else "GET"
        self.target = f"/{kind}/{request_id}"
        self.body = f"order-{request_id}" if kind == "order" else ""
        self.status, self.headers, self.answer, self.ended = None, {}, b"", sent

    def encode(self, patience):
        length = f"Content-Length: {len(self.body)}\r\n" if self.method == "POST" else ""
        return (f"{self.method} {self.target} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {self.id}\r\n"
                f"X-Deadline-Ms: {int(patience * 1000)}\r\n{length}\r\n{self.body}").encode()

    def is_sent_as(self, run):
        return (run.method, run.target, run.body) == (self.method, self.target, self.body)

    def __str__(self):
        return f"{self.kind} {self.id} at {self.instance} ({self.status})"


def check_answer(request):
    """Returns what is wrong with an answer, or nothing."""
    told = request.headers.get("x-request-id")
    if told is not None and told != request.id:
        return f"the answer belongs to {told}"
    if request.status is None or request.status // 100 != 2:
        return None
    if "x-response-signature" not in request.headers:
        return "a success without the signature of a server"
    if request.answer != f"answer to {request.id}".encode():
        return f"the body is {request.answer!r}"
    return None


async def read_answer(reader):
    """Returns status, headers and body; raises an error if the connection ends before that."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return int(head[0].split()[1]), headers, body


async def http(address, method, target, body=b"", timeout=2.0):
    """One call on a connection of its own; returns (status, body)."""
    async def call():
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(f"{method} {target} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
            status, _, answer = await read_answer(reader)
            return status, answer
        finally:
            writer.close()
    return await asyncio.wait_for(call(), timeout)


class Connection:
    """A connection of a caller to an instance."""

    def __init__(self, instance, reader, writer):
        self.instance, self.reader, self.writer = instance, reader, writer

    async def send(self, request, patience):
        """Sends a request and waits for its answer. Returns true if the connection can be used again."""
        request.sent = time.monotonic()
        try:
            self.writer.write(request.encode(patience))
            request.status, request.headers, request.answer = await asyncio.wait_for(
                read_answer(self.reader), patience)
        except (OSError, EOFError, ValueError, asyncio.TimeoutError, asyncio.LimitOverrunError):
            return False
        finally:
            request.ended = time.monotonic()
        return request.headers.get("connection", "").lower() != "close"

    def close(self):
        self.writer.close()


async def connect(instance):
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*instance.callers.address), CONNECT_TIMEOUT_S)
    except (OSError, asyncio.TimeoutError):
        return None
    return Connection(instance, reader, writer)


class Proxy:
    """Hands bytes on between a listening address and a target, and breaks that in several ways."""

    KINDS = ("delay", "reset", "cut_up", "cut_down", "silence")

    def __init__(self, address, target):
        self.address, self.target = address, target
        self.faults, self.delay = set(), 0.0
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.handle, *self.address)

    async def stop(self):
        """Accepts nothing more, and lets connections that have just arrived begin."""
        self.server.close()
        await asyncio.sleep(0)

    async def handle(self, reader, writer):
        if "reset" in self.faults:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.wait_for(asyncio.open_connection(*self.target), 1.0)
        except (OSError, asyncio.TimeoutError):
            writer.transport.abort()
            return
        both = {writer, target_writer}
        self.writers |= both
        # Connections that are silent stay until the end of the run.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(self.pump(reader, target_writer, "cut_up"),
                                 self.pump(target_reader, writer, "cut_down"))
        self.writers -= both

    async def pump(self, reader, writer, cut):
        # A connection that has lost bytes hands on nothing any more, as after a loss on the way.
        is_lost = False
        try:
            while data := await reader.read(65536):
                if "delay" in self.faults:
                    await asyncio.sleep(self.delay)
                is_lost = is_lost or cut in self.faults or "silence" in self.faults
                if not is_lost:
                    writer.write(data)
        except OSError:
            pass
        if not is_lost:
            writer.close()

    async def disturb(self, random, length):
        kind = random.choice(self.KINDS)
        self.delay = random.uniform(0.02, 0.4)
        self.faults.add(kind)
        if kind == "reset":
            for writer in list(self.writers):
                writer.transport.abort()
        await asyncio.sleep(length)
        self.faults.discard(kind)


class Process:
    """A program that the soak starts, signals and ends, with the times in which it was disturbed."""

    def __init__(self, name, folder):
        self.name, self.folder = name, folder
        self.process, self.is_expected_to_end = None, False
        self.intervals = []

    def launch(self, arguments):
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen([str(each) for each in arguments], stdout=log, stderr=log,
                                            stdin=subprocess.DEVNULL)
        self.is_expected_to_end = False
        self.mark_disturbed()

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def code(self):
        return self.process.returncode

    def ended_by_itself(self):
        return self.process is not None and not self.is_running() and not self.is_expected_to_end

    def signal(self, number):
        self.is_expected_to_end = self.is_expected_to_end or number in (signal.SIGKILL, signal.SIGTERM)
        self.process.send_signal(number)

    async def ended(self):
        while self.is_running():
            await asyncio.sleep(0.01)
        return self.process.returncode

    def mark_disturbed(self):
        self.intervals.append([time.monotonic(), time.monotonic()])

    @contextlib.contextmanager
    def disturbance(self):
        interval = [time.monotonic(), float("inf")]
        self.intervals.append(interval)
        try:
            yield
        finally:
            interval[1] = time.monotonic()

    def was_disturbed(self, start, end):
        return any(first <= end and last >= start for first, last in self.intervals)


class StandIn(Process):
    """The store or a backend server."""

    def __init__(self, name, folder, ip, program):
        super().__init__(name, folder)
        self.ip, self.program = ip, program

    async def answers(self):
        """True if it takes commands."""
        try:
            await self.command("/mode?mode=normal")
            return True
        except (OSError, EOFError, asyncio.TimeoutError):
            return False

    async def command(self, target, body=""):
        status, _ = await http((self.ip, CONTROL_PORT), "POST", target, body.encode())
        if status != 200:
            raise RuntimeError(f"{self.name} refused {target}")


class Server(StandIn):
    def __init__(self, name, folder, ip, proxy_ip, program, service, work_ms):
        super().__init__(name, folder, ip, program)
        self.service, self.work_ms = service, work_ms
        self.proxy = Proxy((proxy_ip, SERVER_PORT), (ip, SERVER_PORT))
        self.id, self.generation, self.sequence = "", 0, 0

    def start_anew(self):
        """Starts it under an id that was not used before."""
        self.generation += 1
        self.id = f"{self.name}-{self.generation}"
        self.launch([self.program, "--listen", f"{self.ip}:{SERVER_PORT}", "--control", f"{self.ip}:{CONTROL_PORT}",
                     "--server", self.id, "--work-ms", self.work_ms])

    def launch(self, arguments):
        # Each life has a file of its own, because the id is part of what it tells.
        name, self.name = self.name, self.id
        super().launch(arguments)
        self.name = name

    def entry(self, state):
        self.sequence += 1
        return json.dumps({
            "address": f"{self.proxy.address[0]}:{SERVER_PORT}",
            "info": {"service": self.service, "version": "v1", "zone": "z1", "slots": 2},
            "status": {"state": state, "sequence": self.sequence, "coldRemainingS": 0}, "born": self.generation})


class Instance(Process):
    """One gateway, with proxies before it and between it and the store."""

    def __init__(self, name, folder, ip, proxy_ips, store_ip, program):
        super().__init__(name, folder)
        self.ip, self.program = ip, program
        self.callers = Proxy((proxy_ips[0], CALLER_PORT), (ip, CALLER_PORT))
        self.store = Proxy((proxy_ips[1], STORE_PORT), (store_ip, STORE_PORT))
        self.settings = folder / f"{name}.json"
        self.seeds, self.is_stopping = [], False

    def write_settings(self, text=None):
        self.settings.write_text(text or json.dumps({
            "nodeName": self.name, "ip": self.ip, "zone": "z1",
            "listen": {"front": f"{self.ip}:{CALLER_PORT}", "readyAddress": f"{self.ip}:{READY_PORT}",
                       "directory": f"{self.ip}:{ADDRESS_PORT}"},
            "internalPortRange": [PEER_PORT, PEER_PORT + 15], "seeds": self.seeds,
            "limits": {"cpuShare": 0.2, "cores": 1, "linkMbps": 1000},
            "bounds": ["graceS=6", "retryBudgetRatio=0.2", "retryWindowS=10", "retryBudgetSlack=56"],
            "platform": {"address": f"{self.store.address[0]}:{STORE_PORT}"}}))

    def start(self):
        self.write_settings()
        self.launch([self.program, "--settings", self.settings])

    async def is_ready(self):
        try:
            return (await http((self.ip, READY_PORT), "GET", "/readiness"))[0] == 200
        except (OSError, EOFError, asyncio.TimeoutError):
            return False


class Run:
    """A request that a server began to run."""

    def __init__(self, server, line):
        fields = line.split(" ") + [""] * 3
        self.server = server
        self.request, self.method, self.target, self.body = fields[:4]
        self.service = "t" if server.startswith("t") else "s"

    def __str__(self):
        return f"{self.method} {self.target} of {self.request}"


class Bed:
    def __init__(self, build, seed, folder, instances, servers, work_ms):
        programs = ROOT / "build" / build / "bin"
        # Loopback networks differ between seeds and processes, so that runs do not meet.
        network = f"127.{64 + seed % 128}.{os.getpid() % 250 + 1}"
        self.folder = folder
        self.store = StandIn("store", folder, f"{network}.250", programs / "platform_standins")
        self.instances = [
            Instance(f"a{i + 1}", folder, f"{network}.{10 + i}", (f"{network}.{40 + i}", f"{network}.{70 + i}"),
                     self.store.ip, programs / "apricotrock-gateway") for i in range(instances)]
        self.servers = [
            Server(f"{'st'[i % 2]}{i + 1}", folder, f"{network}.{100 + i}", f"{network}.{150 + i}",
                   programs / "platform_standins", "st"[i % 2], work_ms[i % 2]) for i in range(servers)]
        self.added_routes, self.removed_routes = {}, {}

    def processes(self):
        return [self.store, *self.servers, *self.instances]

    def instance(self, name):
        return next(each for each in self.instances if each.name == name)

    def server(self, server_id):
        return next(each for each in self.servers if each.name == server_id.rpartition("-")[0])

    async def start(self):
        self.store.launch([self.store.program, "--listen", f"{self.store.ip}:{STORE_PORT}",
                           "--control", f"{self.store.ip}:{CONTROL_PORT}"])
        for server in self.servers:
            await server.proxy.start()
            server.start_anew()
        await self.until(self.store.answers, "start of the store")
        await self.publish(1, [])
        for server in self.servers:
            await self.until(server.answers, f"start of {server.id}")
            await self.register(server, "ready")
        for instance in self.instances:
            instance.seeds = [f"{each.ip}:{PEER_PORT}" for each in self.instances[:3]]
            await instance.callers.start()
            await instance.store.start()
            instance.start()
        for instance in self.instances:
            await self.until(instance.is_ready, f"readiness of {instance.name}")

    @staticmethod
    async def until(condition, what):
        deadline = time.monotonic() + START_TIMEOUT_S
        while not await condition():
            if time.monotonic() > deadline:
                raise RuntimeError(f"{what} did not happen within {START_TIMEOUT_S} s")
            await asyncio.sleep(0.05)

    async def register(self, server, state):
        await self.store.command(f"/put?topic=keyed.servers&key={server.id}", server.entry(state))

    async def publish(self, version, extra_routes):
        rows = [["read", HOST, "/read/", "safe", 1.0, 0.2, 2, "s", 2],
                ["order", HOST, "/order/", "unsafe", 1.0, 0.2, 1, "s", 2],
                ["list", HOST, "/list/", "safe", 1.0, 0.2, 2, "t", 2]]
        rows += [[name, HOST, f"/{name}/", "safe", 1.0, 0.2, 2, "s", 2] for name in extra_routes]
        await self.store.command("/put?topic=keyed.op&key=config", json.dumps({
            "version": f"{version:08x}",
            "routes": {"columns": ["name", "host", "pathPrefix", "routeType", "timeoutS", "targetLatencyS",
                                   "priority", "service", "maxAttempts"], "rows": rows},
            "services": {"columns": ["name", "healthCheckPath", "maxConnections"],
                         "rows": [["s", "/health", 200], ["t", "/health", 200]]},
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutS": 3, "idleTimeoutS": 15}}))

    async def choose_instance(self, chance):
        """Asks an instance for addresses, as a caller does; returns one of them or nothing."""
        asked = chance.choice(self.instances)
        try:
            status, body = await http((asked.ip, ADDRESS_PORT), "GET", f"/resolve?name={HOST}&region=r&zone=z1",
                                      timeout=ADDRESS_TIMEOUT_S)
        except (OSError, EOFError, asyncio.TimeoutError):
            return None
        if status != 200:
            return None
        ip = chance.choice(json.loads(body)["addresses"]).rpartition(":")[0]
        return next(each for each in self.instances if each.ip == ip)

    async def stop_proxies(self):
        for process in [*self.instances, *self.servers]:
            for proxy in (getattr(process, name, None) for name in ("callers", "store", "proxy")):
                if proxy:
                    await proxy.stop()

    def runs(self):
        found = []
        for path in sorted(self.folder.glob("[st][0-9]*-[0-9]*.log")):
            for line in path.read_text().splitlines():
                found.append(Run(path.stem, line))
        return found

    def kill_all(self):
        for process in self.processes():
            if process.is_running():
                process.signal(signal.SIGKILL)
                process.process.wait()
