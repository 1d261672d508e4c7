"""DRAIN: a node that was started again takes a late heartbeat of a server that has left for true."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from rig import BOUNDS, CannotRun, Load, Server, main, route, until, TROUBLE

DRAIN_S = BOUNDS["drainMs"] / 1000
CONTACT_S = BOUNDS["contactMs"] / 1000


def case(rig):
    rig.start_store()
    entry = rig.machine("sidecar-a-1", "jm-south-a", "schedules")
    leaving = rig.machine("sidecar-b-1", "jm-south-b", "billing")
    staying = rig.machine("sidecar-c-1", "jm-south-c", "billing")
    machines = [entry, leaving, staying]
    invoice = route("invoice-raise", "billing", "unsafe", priority=0)
    rig.put_config(7, [invoice], ["schedules", "billing"])
    servers = [Server(machine, f"i-{machine.name}", work_s=0.015) for machine in machines]
    for machine in machines:
        machine.start_node()
    until(lambda: all(machine.is_ready() for machine in machines), 15, "the nodes are not ready")
    for server in servers:
        server.start_heartbeats()
    time.sleep(CONTACT_S + 1)
    load = Load(rig, entry, invoice, "POST", clients=4, pause_s=0.25, body=b"x" * 4000)
    time.sleep(2)
    server = servers[1]
    if not server.runs:
        raise CannotRun("the server got no request before it left")

    # The last heartbeat is on its way for seconds. The server then leaves with a leave call, and keeps serving.
    late_heartbeat = server.heartbeat_body("ready")
    late_sent = time.monotonic()
    rig.record.write(f"{server.instance}: heartbeat ready {server.sequence} is sent and will be late")
    server.stopped.set()
    time.sleep(0.3)
    if not server.notify("leave", {"born": server.born}):
        raise CannotRun("the leave call got no ack")
    server.state = "draining"
    ack = time.monotonic()
    time.sleep(0.5)
    restarted = ack
    if TROUBLE:
        leaving.kill_node()
        time.sleep(0.5)
        leaving.start_node()
        restarted = time.monotonic()
        until(leaving.is_ready, 2, "the node that was started again is not ready")
    time.sleep(max(0, restarted + CONTACT_S + 1.0 - time.monotonic()))
    if not server.notify("heartbeat", late_heartbeat):
        raise CannotRun("the late heartbeat got no ack")
    rig.record.write(f"the late heartbeat took {time.monotonic() - late_sent:.1f} s")
    time.sleep(3)
    ended = time.monotonic()
    rig.record.write(f"{server.instance}: ends, {ended - ack:.1f} s after the ack")
    server.stop()
    time.sleep(1)
    load.stop()

    from_s = max(ack + DRAIN_S, restarted + CONTACT_S)
    late = [attempt for at, attempt in server.runs if at > from_s]
    ran = set(late)
    cut = [attempt for _, attempt, status, _, _ in load.results if attempt in ran and status != 200]
    rig.record.write(f"{len(late)} requests reached the server later than drainMs after the ack, "
                     f"{len(cut)} of them were cut by its end")
    print(f"late requests: {len(late)}, cut off: {len(cut)}")
    return len(late) > 0


main(HERE, case)
