"""A request under which servers go dark for some seconds is never rejected."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-3"))
from stand import *  # noqa: E402,F403

SERVERS = 4            # Of cuentas-franquicia.
DARK_S = 4.5           # srv_crash, dark: for_s 4.1 to 4.7
DEADLINE_MS = 4000     # The time limit of libro-local.
AGAIN_S = 5.0          # The request comes again after this time.
TIMES = 13
IN_TOUCH_S = 4.0       # stable-window-ms
MOST_RETRIES = 3
ORDINARY = 22.5        # Other requests a second.
POISON = "/libro/poison"


class DarkServer(Server):
    """Goes silent when it begins to run one request; its connections stay open
    until it is back, as a new lifetime at the same address."""

    crashes = []  # (time, request id) of all servers
    trouble = True

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.dark = False
        self.life = 0
        self.writers = set()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def answer(self, reader, writer, line, fields, body):
        request_id = self.run(line, fields, body)
        life = self.life
        if self.trouble and f" {POISON} " in line:
            self.crashes.append((time.monotonic(), request_id))
            self.record.note(f"{self.name} goes dark under {request_id}")
            self.dark = True
            asyncio.create_task(self.restart())
        else:
            await asyncio.sleep(self.work_s)
        while self.dark or life != self.life:
            await asyncio.sleep(0.1)  # The connection is reset in restart().
        content = random.randbytes(self.size)
        writer.write(response(200, {
            "Request-Id": request_id,
            "Server-Stamp": f"{self.name}.{request_id}"}, content))
        await writer.drain()

    async def restart(self):
        self.life += 1
        loop = asyncio.get_running_loop()
        listening = self.listener.sockets[0]
        loop.remove_reader(listening.fileno())
        await asyncio.sleep(DARK_S)
        for writer in list(self.writers):
            writer.transport.abort()
        self.listener.close()
        self.dark = False
        self.listener = await asyncio.start_server(
            self.serve, self.ip, self.port, limit=1 << 22)
        self.born = int(time.time() * 1000)
        self.seq = 1
        self.enter()
        self.record.note(f"{self.name} is back")


async def beats(servers):
    """Each server that isn't dark writes its entry anew."""
    while True:
        await asyncio.sleep(1.2)
        for server in servers:
            if not server.dark:
                server.enter()


async def case(record, temporary, trouble, started):
    DarkServer.trouble = trouble
    store = Store()
    await store.start()
    servers = []
    for number in range(SERVERS):
        server = DarkServer(record, store, "cuentas-franquicia", "abc"[number % 3],
                            0.09)
        await server.start()
        servers.append(server)
    store.put("config", "main", config(
        11, [route("libro", "/libro/", "cuentas-franquicia",
                   **{"timeout-ms": DEADLINE_MS, "slo-ms": 400})], ["cuentas-franquicia"]))
    gateways = [Gateway(store, i + 1, [], temporary, zone)
                for i, zone in enumerate("abc")]
    for gateway in gateways:
        gateway.seeds = [other.control for other in gateways]
        started.append(gateway)
        await gateway.start()
    for gateway in gateways:
        if not await until_ready(gateway):
            return 2
    tasks = [asyncio.create_task(beats(servers))]
    await asyncio.sleep(IN_TOUCH_S)
    counts = {}

    async def send(path, request_id, timeout):
        record.note(f"consumer sends {request_id}: GET {path}")
        got = await fetch(random.choice(gateways).front, request("GET", path, {
            "Request-Id": request_id, "Deadline-Ms": DEADLINE_MS}), timeout)
        status = got[0] if got else None
        record.note(f"{request_id} gets {status}")
        return status

    async def ordinary(number):
        status = await send(f"/libro/{number}", f"o{number:07x}", 5.0)
        counts[status] = counts.get(status, 0) + 1

    async def load():
        number = 0
        while True:
            await asyncio.sleep(1 / ORDINARY)
            number += 1
            tasks.append(asyncio.create_task(ordinary(number)))

    tasks.append(asyncio.create_task(load()))
    answers = []

    async def poison(number):
        answers.append(await send(POISON, f"p{number:07x}", 5.0))

    for number in range(TIMES):
        await asyncio.sleep(AGAIN_S)
        tasks.append(asyncio.create_task(poison(number)))
    await asyncio.sleep(5.0)
    crashes = sorted(DarkServer.crashes)
    late = set()
    if len(crashes) >= 3:
        late = {request_id for at, request_id in crashes
                if at > crashes[2][0] + IN_TOUCH_S}
    record.say(f"sent {TIMES} times, answered {answers}; {len(crashes)} servers "
               f"went dark; {len(late)} retries reached servers later than "
               f"{IN_TOUCH_S:g} s after the third; other requests: {counts}")
    for task in tasks:
        task.cancel()
    if counts.get(200, 0) == 0:
        return 2
    return 1 if len(late) > MOST_RETRIES else 0


serve_case(FOLDER, case)
