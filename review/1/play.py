"""An acknowledgement that belongs to another order. See claim.txt."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins  # noqa: E402

FIRST, OLDER, NEWER = 7, 20, 30


def play(deployment):
    record = deployment.record
    operator = standins.Operator(record)
    deployment.start()
    # Never asks the machine that will be the follower, nor sends it anything.
    asked = deployment.cores[0]
    if not asked.await_listening(10):
        raise standins.CannotRun("the first control machine does not listen")
    leader = deployment.await_leader(asked)
    follower = next(core for core in deployment.cores[1:] if core != leader)
    third = next(core for core in deployment.cores
                 if core not in (leader, follower))
    record("leader", leader.name, "follower", follower.name)
    services = ["one", "two"]
    config = {version: standins.table(version, "one", services)
              for version in (FIRST, OLDER, NEWER)}
    if not operator.put_until_taken([leader, third], config[FIRST]):
        raise standins.CannotRun("the first configuration was not taken")
    time.sleep(2)

    # Two operators change the configuration at once, at the same machine.
    answers = {}

    def send(version):
        answers[version] = operator.put(follower, config[version])

    orders = [threading.Thread(target=send, args=(version,), daemon=True)
              for version in (OLDER, NEWER)]
    if standins.trouble():
        leader.freeze()
        frozen = time.monotonic()
        orders[0].start()
        time.sleep(0.03)
        follower.kill()
        follower.start()
        if not follower.await_listening(5):
            raise standins.CannotRun("the follower does not come back")
        orders[1].start()
        # Long enough for the connections between the control machines.
        time.sleep(0.1)
        follower.freeze()
        leader.thaw()
        record("the leader stood still for %.0f ms" %
               ((time.monotonic() - frozen) * 1000))
        time.sleep(0.08)
        follower.thaw()
    else:
        for order in orders:
            order.start()
            time.sleep(0.05)
    for order in orders:
        order.join(10)

    # Orders without a clear answer are sent again, unchanged, to any machine.
    for version in (OLDER, NEWER):
        if answers.get(version) != 200:
            operator.put_until_taken([third, leader, follower],
                                     config[version])
    version, at = operator.acknowledged
    record("newest acknowledged version", version)

    # Everybody runs and is connected; the configuration is read back for
    # longer than contactMs, from configMs after the acknowledgement on.
    time.sleep(max(0, at + standins.CONFIG_S + standins.CONTACT_S -
                   time.monotonic()))
    end = time.monotonic() + standins.CONTACT_S + 2
    read = []
    while time.monotonic() < end:
        for core in deployment.cores:
            read.append(operator.get(core))
        time.sleep(0.5)
    older = [one for one in read if one is not None and one != version]
    missing = all(one is None for one in read)
    record("reads", len(read), "not the acknowledged version", len(older))
    return standins.BROKEN if older or missing else standins.HELD


standins.run(play, HERE)
