"""Starts the platform emulator, backend servers and instances as processes on loopback addresses,
for scripts/demo, scripts/bench and scripts/failure-tests."""

import configparser
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
ZONES = ["plateau", "almadies", "rufisque", "pikine"]
# Below the range from which the kernel takes ports for outgoing connections.
FIRST_PORT, LAST_PORT = 22000, 31000
STOP_TIMEOUT_S = 90
READY_TIMEOUT_S = 30


def free_ports(count):
    """Returns ports that nothing listens on now, one after the other where possible."""
    ports = []
    port = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT - 2000)
    while len(ports) < count:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                ports.append(port)
            except OSError:
                pass
        port += 1
    return ports


def http(method, url, body=None, headers=None, timeout=5):
    """Returns (status, headers, body) of one call, error statuses included."""
    request = urllib.request.Request(url, data=body, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.headers, answer.read()
    except urllib.error.HTTPError as answer:
        return answer.code, answer.headers, answer.read()


def get_json(url):
    return json.loads(http("GET", url)[2])


def wait_until(condition, timeout, what):
    """Polls until the condition holds; fails with a message that names what was waited for."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise RuntimeError(f"{what} did not happen within {timeout} s")


class Process:
    def __init__(self, name, arguments, folder):
        self.name = name
        self.log = folder / f"{name}.log"
        with open(self.log, "wb") as log:
            self.popen = subprocess.Popen([str(a) for a in arguments], stdout=log, stderr=log,
                                          stdin=subprocess.DEVNULL, start_new_session=True)
        self.pid = self.popen.pid

    def is_running(self):
        return self.popen.poll() is None

    def terminate(self):
        if self.is_running():
            self.popen.send_signal(signal.SIGTERM)

    def wait(self, timeout=STOP_TIMEOUT_S):
        """Returns the exit code; a process that does not end in time is killed."""
        try:
            return self.popen.wait(timeout)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            self.popen.wait()
            return None

    def cpu_seconds(self):
        fields = pathlib.Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self):
        pages = int(pathlib.Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


class Instance:
    """One apricotrockd with its addresses and its settings file."""

    def __init__(self, name, zone, ports):
        self.name, self.zone = name, zone
        self.callers, self.operators, self.peers = (f"127.0.0.1:{port}" for port in ports)
        self.process = None

    def metric_sum(self, prefix):
        """Sums all samples of the metrics whose name starts with prefix."""
        return sum(value for name, value in self.metrics().items() if name.startswith(prefix))

    def metrics(self):
        text = http("GET", f"http://{self.operators}/metrics")[2].decode()
        samples = (line.rsplit(" ", 1) for line in text.splitlines()
                   if line and not line.startswith("#"))
        return {name: float(value) for name, value in samples}

    def list_row(self, state="live"):
        return {"name": self.name, "role": "entry", "address": self.peers, "zone": self.zone,
                "state": state}


class BackendServer:
    def __init__(self, name, section):
        self.name = name
        self.service = section["service"]
        self.address = section["address"]
        self.zone = section["availability_zone"]
        self.slots = int(section["slots"])

    def control(self, path, method="POST"):
        return json.loads(http(method, f"http://{self.address}/control/{path}")[2])

    def stats(self):
        return self.control("stats", "GET")


def read_deployment(path):
    parser = configparser.ConfigParser(interpolation=None)
    parser.read(path)
    return [BackendServer(section.split(" ", 1)[1], parser[section])
            for section in parser.sections() if section.startswith("backend-server ")]


def association_deployment(policy, ports, slots=2):
    """Returns the text of a deployment of the Association's size on free ports."""
    lines = [f"[availability-zone {zone}]\nregion = senegal\n" for zone in ZONES]
    lines.append("[policy standard]\n" + "".join(f"{k} = {v}\n" for k, v in policy.items()))
    ports = iter(ports)
    for service, count in (("reorder-tracking", 8), ("order-desk", 8), ("profiles-schedules", 12)):
        lines.append(f"[service {service}]\npolicy = standard\n")
        for index in range(count):
            lines.append(f"[backend-server {service}-{index + 1}]\nservice = {service}\n"
                         f"address = 127.0.0.1:{next(ports)}\n"
                         f"availability_zone = {ZONES[index % len(ZONES)]}\nslots = {slots}\n")
    return "\n".join(lines)


class Testbed:
    def __init__(self, build="release"):
        self.bin = ROOT / "build" / build / "bin"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="apricotrock-"))
        self.processes, self.instances, self.backends = [], [], []
        self.platform = None

    def start(self, name, program, *arguments):
        process = Process(name, [self.bin / program, *arguments], self.folder)
        self.processes.append(process)
        return process

    def start_platform(self):
        self.platform = f"http://127.0.0.1:{free_ports(1)[0]}"
        self.start("platform", "apricotrock-emulator", "platform", "--listen", self.platform[7:],
                   "--list-lag", "500ms")
        wait_until(lambda: http("GET", self.platform + "/control/stats")[0] == 200,
                   READY_TIMEOUT_S, "start of the platform")

    def start_backends(self, deployment, *options):
        """Starts the backend servers of a deployment file, one process for each service."""
        self.backends = read_deployment(deployment)
        for service in sorted({server.service for server in self.backends}):
            servers = [server for server in self.backends if server.service == service]
            self.start(f"backend-{service}", "apricotrock-emulator", "backend",
                       "--listen", ",".join(server.address for server in servers),
                       "--name", ",".join(server.name for server in servers),
                       "--zone", ",".join(server.zone for server in servers),
                       "--slots", servers[0].slots, *options)
        for server in self.backends:
            wait_until(server.stats, READY_TIMEOUT_S, f"start of backend server {server.name}")

    def start_instances(self, count, zones=ZONES, extra=""):
        ports = free_ports(3 * count)
        first = len(self.instances)
        added = [Instance(f"a{first + i + 1}", zones[i % len(zones)], ports[3 * i:3 * i + 3])
                 for i in range(count)]
        self.instances += added
        self.list_instances()
        for instance in added:
            self.start_instance(instance, extra)
        for instance in added:
            wait_until(lambda: http("GET", f"http://{instance.operators}/healthz")[0] == 200,
                       READY_TIMEOUT_S, f"start of instance {instance.name}")

    def start_instance(self, instance, extra=""):
        path = self.folder / f"{instance.name}.ini"
        path.write_text(f"[instance]\nname = {instance.name}\n"
                        f"availability_zone = {instance.zone}\n"
                        f"max_instances = {max(20, len(self.instances) + 4)}\n"
                        f"[listen]\ncallers = {instance.callers}\n"
                        f"operators = {instance.operators}\npeers = {instance.peers}\n"
                        f"[platform]\nlog = {self.platform}\ninstances = {self.platform}\n"
                        f"[callers]\naddress_lifetime = 1s\n{extra}")
        instance.process = self.start(instance.name, "apricotrockd", "--settings", path)

    def list_instances(self, leaving=()):
        rows = [instance.list_row("leaving" if instance in leaving else "live")
                for instance in self.instances]
        http("PUT", self.platform + "/control/instances", json.dumps(rows).encode())

    def wait_ready(self):
        for instance in self.instances:
            wait_until(lambda: http("GET", f"http://{instance.operators}/readyz")[0] == 200,
                       READY_TIMEOUT_S, f"readiness of instance {instance.name}")

    def cli(self, *arguments):
        """Runs the command-line tool; returns its exit code and its output."""
        run = subprocess.run([str(self.bin / "apricotrock"), *map(str, arguments)],
                             stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
                             timeout=60, check=False)
        return run.returncode, run.stdout

    def publish(self, deployment):
        code, output = self.cli("publish", deployment, "--log", self.platform)
        if code != 0:
            raise RuntimeError(f"apricotrock publish failed with exit code {code}:\n{output}")
        return output

    def load(self, name, *options):
        """Starts a load generator that writes NAME.json, NAME.samples and NAME.record."""
        addresses = ",".join(instance.callers for instance in self.instances)
        target = () if "--direct" in options else ("--instances", addresses)
        return self.start(name, "apricotrock-emulator", "load", *target, "--name", name,
                          "--json", self.folder / f"{name}.json",
                          "--samples", self.folder / f"{name}.samples",
                          "--record", self.folder / f"{name}.record", *options)

    def load_result(self, process, timeout=120):
        code = process.wait(timeout)
        if code != 0:
            raise RuntimeError(f"load generator {process.name} failed:\n{process.log.read_text()}")
        return json.loads((self.folder / f"{process.name}.json").read_text())

    def samples(self, name):
        return json.loads((self.folder / f"{name}.samples").read_text())

    def runs(self, kind):
        """Returns how often each key (by_key) or target (by_target) ran at all backend servers."""
        counts = {}
        for server in self.backends:
            for name, count in server.control("runs", "GET")[kind].items():
                counts[name] = counts.get(name, 0) + count
        return counts

    def stop(self):
        """Ends all processes: first the instances, gracefully, then the rest. Returns the names of
        those that failed to end by themselves with exit code 0."""
        failed = []
        instances = [i.process for i in self.instances if i.process]
        for group in (instances, [p for p in self.processes if p not in instances]):
            running = [process for process in group if process.is_running()]
            for process in running:
                process.terminate()
            failed += [process.name for process in running if process.wait() != 0]
        return failed

    def remove(self):
        shutil.rmtree(self.folder, ignore_errors=True)
