"""A server sends its leave notice, and the core machine that acknowledged it is killed
together with the fronts. Afterwards the fronts must not use the server again."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))

from fleet import *

HOST = "shop.example"
KEY = "key-of-team-one"
SERVES_ON_S = 10.0  # how long the server still serves after its notice


async def play(make, record, trouble):
    fleet = make(cores=5, fronts=3)
    await fleet.boot()
    routes = [plain_route("stock", HOST, "/stock/", "safe", "orders", attempts=2)]
    tenants = [{"name": "one", "apiKeys": [KEY], "priority": 1}]
    await fleet.put_config(config(3, HOST, routes, [plain_service("orders")], tenants))
    servers = [Server(fleet, "i-order-%d" % n, "orders", fleet.zones[n - 1]) for n in (1, 2, 3)]
    leaver, acknowledger, other = servers[0], fleet.cores[0], fleet.cores[1]
    leaver.beat_to = other
    for s in servers:
        await s.start()
    await fleet.wait_ready()
    await asyncio.sleep(4.0)

    async def ask(front):
        sent = now()
        in_touch = front.in_touch(sent)
        result = await request(fleet, front, "GET", HOST, "/stock/1", KEY, 2500)
        return sent, in_touch, front, result

    for front in fleet.fronts:
        for _ in range(4):
            await ask(front)

    # The server leaves: notice first, it serves on for some seconds and then exits.
    await leaver.beat()
    leaver.beating.cancel()
    leaver.leaving = True
    status = await leaver.say(acknowledger, "leave", {"born": leaver.born})
    left_at = now()
    record("server %s: leave notice acknowledged by %s: %s" % (leaver.name, acknowledger.name, status))
    if status != 200 or not acknowledger.in_touch(left_at):
        raise RuntimeError("the leave notice was not acknowledged by a machine in touch")

    if trouble:
        await asyncio.sleep(0.1)
        ended = [acknowledger] + fleet.fronts
        await asyncio.gather(*(m.restart() for m in ended))
    # Clients come back to a front once it has run for the stable window.
    asks = []
    await asyncio.sleep(max(0.0, left_at + STABLE_WINDOW_S + 0.5 - now()))
    while now() < left_at + SERVES_ON_S - 1:
        for front in fleet.fronts:
            if front.in_touch(now()):
                asks.append(asyncio.create_task(ask(front)))
        await asyncio.sleep(0.1)
    answers = await asyncio.gather(*asks)
    leaver.close()
    arrived = {attempt: (at, front) for at, attempt, front in leaver.arrivals}
    late = 0
    for sent, in_touch, front, (status, _, _, attempt) in answers:
        if attempt in arrived and in_touch and sent > left_at + DRAIN_S:
            late += 1
            record("BROKEN: %s was sent by the client %.2f s after the acknowledgement, and %s got it from %s"
                   % (attempt, sent - left_at, leaver.name, front.name))
    served = sum(1 for a in answers if a[3][0] == 200)
    record("%d requests of clients from %.1f s after the notice on, %d served, %d reached the server that left"
           % (len(answers), STABLE_WINDOW_S + 0.5, served, late))
    if not answers or served < len(answers) / 2:
        raise RuntimeError("the fleet did not serve")
    return late == 0


main(FOLDER, play, limit=60.0)
