"""DRAIN: a server that starts again with a smaller start time is acknowledged as draining, but the node ignores it."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from rig import BOUNDS, CannotRun, Load, Server, main, route, until, TROUBLE

DRAIN_S = BOUNDS["drainMs"] / 1000
CONTACT_S = BOUNDS["contactMs"] / 1000
# Step of the clock: `clock_step` in `fleetbench kinds`, x (2000).
STEP_MS = 2000


def case(rig):
    rig.start_store()
    entry = rig.machine("sidecar-a-1", "jm-south-a", "schedules")
    machine = rig.machine("sidecar-b-1", "jm-south-b", "billing")
    # Seven servers of the service, so that one that crashes is no more than the share of `srv_crash` (0.15).
    others = [rig.machine(f"sidecar-{zone}-{number}", f"jm-south-{zone}", "billing")
              for zone in "bc" for number in (2, 3, 4)]
    invoice = route("invoice-raise", "billing", "unsafe", priority=0)
    rig.put_config(7, [invoice], ["schedules", "billing"])
    for one in [entry, machine, *others]:
        one.start_node()
    until(lambda: all(one.is_ready() for one in [entry, machine, *others]), 15, "the nodes are not ready")
    servers = [Server(one, f"i-{one.name}") for one in [entry, *others]]
    # The time of day of this machine is ahead when its server starts, and jumps back before the server starts again.
    ahead_ms = STEP_MS if TROUBLE else 0
    rig.record.write(f"the time of day at {machine.name} is {ahead_ms} ms ahead")
    first = Server(machine, "i-sidecar-b-1", born=int(time.time() * 1000) + ahead_ms)
    for server in [*servers, first]:
        server.start_heartbeats()
    time.sleep(0.4)
    first.stop()
    rig.record.write(f"{first.instance}: crashes, born {first.born}; the time of day jumps back")
    time.sleep(1.0)
    second = Server(machine, "i-sidecar-b-1")
    second.start_heartbeats()
    rig.record.write(f"{second.instance}: starts again under its id, born {second.born}")
    time.sleep(CONTACT_S + 2)
    load = Load(rig, entry, invoice, "POST", clients=12, body=b"x" * 4000)
    time.sleep(3)
    if not second.runs:
        raise CannotRun("the server that started again got no request")
    second.state = "draining"
    if not second.notify("heartbeat", second.heartbeat_body()):
        raise CannotRun("the draining got no ack")
    ack = time.monotonic()
    time.sleep(6)
    second.stop()
    rig.record.write(f"{second.instance}: ends")
    time.sleep(1)
    load.stop()
    late = [attempt for at, attempt in second.runs if at > ack + DRAIN_S]
    rig.record.write(f"{len(late)} requests reached the server later than drainMs after the ack")
    print(f"late requests: {len(late)}")
    return len(late) > 0


main(HERE, case)
