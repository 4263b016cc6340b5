"""A stream that ends inside an event is passed on as a complete one."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../kit"))
import deployment as d

EVENTS = 12
# garble: x of the answers of a share of the engines are broken off, for some time.
X = 0.02
ENGINES = 2  # Of five: share = 0.4.
GARBLE_SECONDS = 5


def event(number):
    return b"id: %d\ndata: piece %d of %d\n\n" % (number, number, EVENTS)


class Model(d.Engine):
    """Streams events in chunks, from Last-Event-Id on if there is one."""

    garbles = False

    def run(self, sock, request):
        with self.lock:
            count = len(self.runs)
        name = request.get("Attempt-Id")
        resumed = request.get("Last-Event-Id")
        broken = self.garbles and count % round(1 / X) == 0 and not resumed
        head = "HTTP/1.1 200 OK\r\n"
        for header in [("Attempt-Id", name), ("Engine-Signature", self.signature(request)),
                       ("Content-Type", "text/event-stream"),
                       ("Transfer-Encoding", "chunked")]:
            head += "%s: %s\r\n" % header
        sock.sendall(head.encode() + b"\r\n")
        for number in range(int(resumed or 0) + 1, EVENTS + 1):
            time.sleep(0.01)
            data = event(number)
            if broken and number == EVENTS // 2:
                data = data[:len(data) // 2]
            sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))
            if broken and number == EVENTS // 2:
                self.record.write("%s breaks %s off inside event %d" % (self.name, name, number))
                break
        sock.sendall(b"0\r\n\r\n")
        return True


def case(deployment, trouble):
    record = deployment.record
    engines = [deployment.add_engine(Model, "i-%d" % i, "lm-pool",
                                     zone=deployment.vms[i % 3].zone) for i in range(1, 6)]
    deployment.store.put("op/config", d.configuration(7, [
        d.route("quote-draft", "/quote/", "stream", "lm-pool", 10000, 2, resumable=True),
    ], [d.tenant("planners", ["key-1"])]))
    deployment.start()
    time.sleep(2)
    caller = d.Caller(deployment, "c")
    end = threading.Event()

    def client(number):
        while not end.is_set():
            caller.call(deployment.vms[number % 3], "/quote/%d" % number, "key-1",
                        deadline_ms=10000, more=[("Model", "m"), ("Token-Usage", "1460,80")])
            time.sleep(0.05)

    clients = [threading.Thread(target=client, args=(i,)) for i in range(18)]
    for thread in clients:
        thread.start()
    time.sleep(2)
    faulty = sorted(engines, key=lambda engine: len(engine.runs))[-ENGINES:]

    def garble(on):
        for engine in faulty:
            engine.garbles = trouble and on

    garble(True)
    time.sleep(GARBLE_SECONDS)
    garble(False)
    time.sleep(2)
    end.set()
    for thread in clients:
        thread.join()
    whole = b"".join(event(number) for number in range(1, EVENTS + 1))
    complete = [(n, a[2]) for n, a in caller.answers.items() if a[1] == 200]
    if len(complete) < 50:
        raise d.CannotRun("too few answers")
    short = [name for name, body in complete if body != whole]
    for name in short:
        record.write("%s ended as complete without all events" % name)
    if short:
        return "ORDER: %d of %d streams ended as complete before their last piece" % (
            len(short), len(complete))
    return ""


d.run_case(os.path.dirname(os.path.abspath(__file__)),
           ("kariakoo", "temeke", "mikocheni"), case)
