"""Open flows are reset while agents and balancers restart in turn and a server leaves."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
from deployment import Client, Deployment, main, wait_until  # noqa: E402

ROUTES = [(8443, "dispatch"), (8444, "quoting")]
FLOWS = 200
AGENT_GAP_S = 1.0
BALANCER_GAP_S = 1.3


def case(folder, trouble):
    d = Deployment(folder, 4, {"dispatch": 7, "quoting": 3})
    try:
        d.start_all()
        time.sleep(0.5)
        d.configure(3, ROUTES)
        if not wait_until(lambda: len(d.router.ready()) == 4, 10):
            return 2
        time.sleep(9)  # by then every balancer knows all members

        client = Client(d, "127.2.0.1")
        flows = [client.flow(1025 + n, 8443) for n in range(FLOWS)]
        opened = [f for f in flows if f.open() and f.request(2)]
        if len(opened) < FLOWS // 2:
            d.record("only", len(opened), "flows opened")
            return 2

        leaving = "side-7"

        def take_away():
            """scale_in: the server drains and leaves, then its node is stopped for good."""
            d.backends[leaving].leave()
            time.sleep(2)
            d.stop(leaving)

        work = []
        if trouble:
            def agents():
                order = [n for n in d.agents if n != leaving]
                work.extend(d.restart_in_turn(order, AGENT_GAP_S))

            def balancers():
                time.sleep(3)
                work.extend(d.restart_in_turn(["front-%d" % (n + 1) for n in range(4)], BALANCER_GAP_S))

            def scale_in():
                time.sleep(3)
                take_away()

            work = [threading.Thread(target=f) for f in (agents, balancers, scale_in)]
            for thread in list(work):
                thread.start()

        def use(flow, pause):
            time.sleep(pause)
            flow.request(5)

        users = [threading.Thread(target=use, args=(f, 8 + 8 * n / FLOWS)) for n, f in enumerate(opened)]
        for user in users:
            user.start()
        for user in users:
            user.join()
        for thread in list(work):
            thread.join()
        time.sleep(1)
        strayed = d.strayed()
        for key in d.resets:
            d.record("FLOW broken: flow=%d" % key[1], "reset while", d.owner[key][0].name, "serves")
        text = "%d flows open, %d reset while their server serves, %d with none at their own server" % (
            len(opened), len(d.resets), len(strayed))
        d.record(text)
        print(text)
        return 1 if d.resets or strayed else 0
    finally:
        d.close()


main(FOLDER, case)
