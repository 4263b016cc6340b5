"""A removed engine stays in use after two short outages of the store."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../kit"))
import deployment as d

STABLE_WINDOW = 3.0  # bounds.stable-window-ms
DRAIN = 2.0  # bounds.drain-ms
FIRST_OUTAGE = 2.0
SECOND_OUTAGE = 0.5
SERVES_ON = 12.0  # "drain-ms ... and a little longer (at times many seconds)"


class Orders(d.Engine):
    def run(self, sock, request):
        time.sleep(0.06)
        return super().run(sock, request)


def case(deployment, trouble):
    record, store = deployment.record, deployment.store
    engines = [deployment.add_engine(Orders, "i-%d" % i, "orders-app", slots=6)
               for i in range(1, 9)]
    store.put("op/config", d.configuration(
        7, [d.route("deposit-post", "/deposit/", "non_idempotent", "orders-app")],
        [d.tenant("planners", ["key-1"])]))
    deployment.start()
    time.sleep(3)

    caller = d.Caller(deployment, "c")
    end = threading.Event()

    def client(number):
        while not end.is_set():
            caller.call(deployment.vms[number % 3], "/deposit/%d" % number, "key-1")
            time.sleep(0.03)

    clients = [threading.Thread(target=client, args=(i,)) for i in range(40)]
    for thread in clients:
        thread.start()
    time.sleep(2)

    def outage(seconds):
        if trouble:
            record.write("platform_down (reset) begins")
            store.set_down(True)
        time.sleep(seconds)
        if trouble:
            store.set_down(False)
            record.write("platform_down ends")

    outage(FIRST_OUTAGE)
    time.sleep(STABLE_WINDOW + 2)
    # The store has been stable for more than stable-window-ms.
    gone = max(engines, key=lambda engine: len(engine.runs))
    if not gone.runs:
        raise d.CannotRun("no engine got requests")
    removed = store.remove("servers/" + gone.name)
    record.write("the store acknowledged the removal of servers/%s" % gone.name)
    time.sleep(1)
    outage(SECOND_OUTAGE)
    touch = time.monotonic() + STABLE_WINDOW
    time.sleep(max(0, removed + SERVES_ON - time.monotonic()))
    gone.exit()
    record.write("%s exits" % gone.name)
    exited = time.monotonic()
    time.sleep(1)
    end.set()
    for thread in clients:
        thread.join()

    # Only requests that a client sent, and that reached the engine, after the
    # drain time and while all machines were in touch again.
    begin = max(removed + DRAIN, touch)
    late = [name for at, name, _, _ in gone.runs
            if at > begin and caller.answers[name][0] > begin]
    lost = [name for at, name, _, _ in gone.runs
            if at > begin and at < exited and caller.answers[name][1] != 200]
    record.write("%d requests reached %s more than drain-ms after its removal, in touch; "
                 "%d of them ran and had no answer of the engine" % (
                     len(late), gone.name, len(lost)))
    if late:
        return "DRAIN: %d requests, the last one %.1f s after the removal; %d lost" % (
            len(late), max(at for at, _, _, _ in gone.runs) - removed, len(lost))
    return ""


d.run_case(os.path.dirname(os.path.abspath(__file__)),
           ("kariakoo", "temeke", "mikocheni"), case)
