"""A control machine that is killed while it makes its store. See claim.txt."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins  # noqa: E402

FIRST, SECOND = 7, 12
# Losses of the first machine's disk until a kill meets the moment.
MOST_TRIES = 4


def start_and_kill_early(core):
    """Starts the machine on an empty disk; kills it soon after its start.

    @return whether it has a number but no store yet.
    """
    folder = os.path.join(core.data, "control")
    number = os.path.join(folder, "node_id")
    core.start()
    end = time.monotonic() + 5
    while not os.path.exists(number) and time.monotonic() < end:
        pass
    core.kill()
    files = sorted(os.listdir(folder))
    core.record(core.name, "left on its disk:", " ".join(files))
    return not any(name.endswith(".db") for name in files)


def wait(core, seconds):
    """Waits; the platform starts the machine's program when it has ended."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        time.sleep(1)
        if core.has_ended():
            core.own_ends += 1
            core.record("platform:", core.name, "has ended by itself, exit",
                        core.process.returncode, "-", core.last_words(1))
            core.start()


def play(deployment):
    record = deployment.record
    operator = standins.Operator(record)
    deployment.start()
    asked = deployment.cores[0]
    if not asked.await_listening(10):
        raise standins.CannotRun("the first control machine does not listen")
    deployment.await_leader(asked)
    if not operator.put_until_taken(
            deployment.cores, standins.table(FIRST, "one", ["one", "two"])):
        raise standins.CannotRun("the first configuration was not taken")
    time.sleep(standins.CATCH_UP_S)

    # A machine loses its disk and comes back empty, at its old address.
    first, second, _ = deployment.cores
    for _ in range(MOST_TRIES):
        first.kill()
        first.lose_disk()
        time.sleep(1)
        if not standins.trouble() or start_and_kill_early(first):
            break
        # The kill came too early or too late: the machine recovers.
        first.start()
        first.await_listening(5)
        time.sleep(standins.CATCH_UP_S)
    first.start()

    # It is back for longer than catchUpS, so one more machine may be lost.
    wait(first, standins.CATCH_UP_S + standins.CONTACT_S)
    if not operator.put_until_taken(
            deployment.cores, standins.table(SECOND, "one", ["one", "two"])):
        raise standins.CannotRun("the second configuration was not taken")
    second.kill()
    second.lose_disk()
    time.sleep(1)
    second.start()

    # Everybody is back; the bounds for recovery, contact and configuration
    # pass. Then the configuration is read back for longer than contactMs.
    wait(first, standins.RECOVER_S + standins.CONFIG_S)
    record(first.name, "ended by itself", first.own_ends, "times")
    read = []
    end = time.monotonic() + standins.CONTACT_S + 5
    while time.monotonic() < end:
        for core in deployment.cores:
            read.append(operator.get(core))
        wait(first, 0.5)
    came = [version for version in read if version is not None]
    record("reads", len(read), "answered", len(came), "with", sorted(set(came)),
           "newest acknowledged version", operator.acknowledged[0])
    good = bool(came) and all(version == operator.acknowledged[0]
                              for version in came)
    return standins.HELD if good else standins.BROKEN


standins.run(play, HERE)
