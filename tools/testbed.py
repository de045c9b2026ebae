"""Processes of a test on one machine: stand-ins, daemons, load.

Starts and ends only its own processes, through the handles it holds. Used by
demo.py, soak.py and bench/run.py.
"""

import http.client
import json
import os
import signal
import socket
import subprocess
import tempfile
import time

HOST = "127.0.0.1"
STOP_TIMEOUT_S = 20
READY_TIMEOUT_S = 20
POLL_S = 0.05


class TestbedError(Exception):
    """A process or call failed that the test depends on."""


def free_ports(count):
    """Free ports; all are bound together, so that they differ."""
    sockets = []
    for _ in range(count):
        held = socket.socket()
        held.bind((HOST, 0))
        sockets.append(held)
    ports = [held.getsockname()[1] for held in sockets]
    for held in sockets:
        held.close()
    return ports


def call(address, method, path, body=None, headers=None, timeout=10):
    """One HTTP call; returns (status, headers, text)."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        fields = {name.lower(): value for name, value in answer.getheaders()}
        return answer.status, fields, answer.read().decode()
    finally:
        connection.close()


def call_json(address, method, path, body=None, headers=None, timeout=10):
    """One HTTP call with JSON both ways; returns (status, document)."""
    text = None if body is None else json.dumps(body)
    status, _, answer = call(address, method, path, text, headers, timeout)
    return status, json.loads(answer) if answer else None


def wait_for(what, condition, timeout_s=READY_TIMEOUT_S):
    """Poll until the condition returns a true value; returns the value."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(POLL_S)
    raise TestbedError(f"timed out after {timeout_s} s: {what}")


class Process:
    """One child process with its log files."""

    def __init__(self, name, command, directory, pipes_output=True):
        """pipes_output: standard output is a pipe; else it goes to the log."""
        self.name = name
        self.command = command
        self.log_path = os.path.join(directory, name + ".log")
        self.log = open(self.log_path, "ab")
        self.child = subprocess.Popen(
            command, stdout=subprocess.PIPE if pipes_output else self.log,
            stderr=self.log)

    def read_json_line(self):
        """Read the next line of standard output as JSON."""
        line = self.child.stdout.readline()
        if not line:
            raise TestbedError(f"{self.name} ended: see {self.log_path}")
        return json.loads(line)

    def is_running(self):
        """Whether the process runs."""
        return self.child.poll() is None

    def signal(self, number):
        """Send a signal, if it still runs."""
        if self.is_running():
            self.child.send_signal(number)

    def wait(self, timeout=STOP_TIMEOUT_S):
        """Wait for the end; returns the exit status."""
        return self.child.wait(timeout)

    def end(self):
        """Kill the process if it runs, and close its files."""
        if self.is_running():
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        self.child.wait()
        if self.child.stdout is not None:
            self.child.stdout.close()
        self.log.close()


class Platform:
    """The platform stand-in."""

    def __init__(self, process):
        self.process = process
        self.address = process.read_json_line()["address"]

    def fault(self, **fields):
        """Set faults; clear=True removes all earlier ones first."""
        status, _, text = call(
            self.address, "POST", "/admin/fault", json.dumps(fields))
        if status != 200:
            raise TestbedError(f"fault {fields}: {status} {text}")

    def counts(self):
        """Counts of calls by kind, peaks and bytes."""
        return call_json(self.address, "GET", "/admin/counts")[1]

    def admin(self, path, **fields):
        """Another admin call: reset, snapshot, restore, vms."""
        return call(
            self.address, "POST", "/admin/" + path, json.dumps(fields))[0]


class Farm:
    """Backend server stand-ins of one process."""

    def __init__(self, process):
        self.process = process
        description = process.read_json_line()
        self.admin = description["admin"]
        self.servers = description["servers"]

    def behave(self, **fields):
        """Change behaviour of all servers, or of server= or service=."""
        status, _, text = call(
            self.admin, "POST", "/admin/behave", json.dumps(fields))
        if status != 200:
            raise TestbedError(f"behave {fields}: {status} {text}")

    def truth(self):
        """Ground truth of servers and orders."""
        return call_json(self.admin, "GET", "/admin/truth", timeout=30)[1]

    def reset(self):
        """Reset all counts."""
        call(self.admin, "POST", "/admin/reset")


class Daemon:
    """One daemon with its addresses."""

    def __init__(self, name, failure_domain, ports):
        self.name = name
        self.failure_domain = failure_domain
        self.caller, self.peer, self.operator = (
            f"{HOST}:{port}" for port in ports)
        self.process = None

    def is_ready(self):
        """Whether it lists itself to callers, as a confirmed daemon does."""
        try:
            status, answer = call_json(
                self.caller, "GET", "/v1/entries",
                headers={"Caller": "testbed"}, timeout=1)
        except (OSError, ValueError, http.client.HTTPException):
            return False
        return status == 200 and self.caller in [
            entry["address"] for entry in answer["entries"]]

    def operator_answers(self):
        """Whether its operators' interface answers."""
        try:
            return call(self.operator, "GET", "/v1/status", timeout=1)
        except (OSError, http.client.HTTPException):
            return False


class Testbed:
    """All processes of a test; a context manager that kills them on exit."""

    def __init__(self, build):
        self.build = os.path.abspath(build)
        self.directory = tempfile.mkdtemp(prefix="camphorfield-")
        self.processes = []
        self.platform = None
        self.daemons = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            process.end()

    def program(self, name):
        """Path of a built program."""
        return os.path.join(self.build, name)

    def start(self, name, *command, pipes_output=True):
        """Start a program as a child; see Process."""
        process = Process(name, [str(part) for part in command],
                          self.directory, pipes_output)
        self.processes.append(process)
        return process

    def write(self, name, document):
        """Write a JSON file; returns its path."""
        path = os.path.join(self.directory, name)
        with open(path, "w", encoding="utf-8") as out:
            json.dump(document, out)
        return path

    def start_platform(self, *flags):
        """Start the platform stand-in."""
        self.platform = Platform(self.start(
            "platform", self.program("platform_standin"), *flags))
        return self.platform

    def start_farm(self, name, services, seed=1):
        """Start backend servers; services as server_standin takes them."""
        path = self.write(name + ".json", {"seed": seed, "services": services})
        return Farm(self.start(name, self.program("server_standin"), path))

    def start_plain(self, name, config):
        """Start the plain comparison tier; returns its caller address."""
        path = self.write(name + ".json", config)
        process = self.start(name, self.program("plain_tier"), path)
        return process.read_json_line()["address"]

    def add_daemons(self, count, failure_domains=3):
        """Create daemons with names and ports, without starting them."""
        ports = free_ports(3 * count)
        for i in range(count):
            domain = "fd-" + "abcdefgh"[i % failure_domains]
            daemon = Daemon(f"d{i + 1}", domain, ports[3 * i:3 * i + 3])
            self.daemons[daemon.name] = daemon
        return list(self.daemons.values())

    def start_daemon(self, daemon, *flags):
        """Start a daemon, or restart it after its end."""
        seeds = [other.peer for other in self.daemons.values()
                 if other is not daemon]
        command = [
            self.program("camphorfield"), "daemon",
            "--name", daemon.name,
            "--failure-domain", daemon.failure_domain,
            "--caller-address", daemon.caller,
            "--peer-address", daemon.peer,
            "--operator-address", daemon.operator,
            "--platform", self.platform.address,
            "--seeds", ",".join(seeds[:3]), *flags]
        daemon.process = self.start(daemon.name, *command, pipes_output=False)
        return daemon

    def callers_addresses(self):
        """Caller addresses of all daemons, separated by commas."""
        return ",".join(daemon.caller for daemon in self.daemons.values())

    def cli(self, *arguments, check=True, timeout=30):
        """Run a command of the operators' client; returns its output."""
        command = [self.program("camphorfield"), *map(str, arguments)]
        try:
            done = subprocess.run(command, capture_output=True, text=True,
                                  timeout=timeout, check=False)
        except subprocess.TimeoutExpired as error:
            raise TestbedError(str(error)) from error
        if check and done.returncode != 0:
            raise TestbedError(
                f"{' '.join(map(str, arguments))}: exit {done.returncode}: "
                f"{done.stdout}{done.stderr}")
        return done.stdout

    def start_load(self, name, addresses, *flags):
        """Start load_tool; finish_load returns its summary."""
        log = os.path.join(self.directory, name + ".requests")
        process = self.start(name, self.program("load_tool"),
                             "--daemons", addresses, "--log", log, *flags)
        process.requests_path = log
        return process

    @staticmethod
    def finish_load(process, timeout=120):
        """Wait for load to end; returns its summary."""
        text, _ = process.child.communicate(timeout=timeout)
        if process.child.returncode != 0:
            raise TestbedError(f"{process.name}: see {process.log_path}")
        return json.loads(text)

    @staticmethod
    def read_requests(process):
        """All requests of a finished load, one document each."""
        with open(process.requests_path, encoding="utf-8") as lines:
            return [json.loads(line) for line in lines]
