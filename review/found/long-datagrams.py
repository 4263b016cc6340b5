"""Not a case: after three of twelve engines crash, the rumours of the crashes make
probes longer than a datagram may be. They are dropped, and the machines suspect
each other. Prints datagrams dropped and suspicions at each machine. PARTS: the
parts of each prompt (20). No rule was seen broken by it."""
import os
import random
import re
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../kit"))
import deployment as d

PARTS = int(os.environ.get("PARTS", "20"))


class Model(d.Engine):
    def run(self, sock, request):
        time.sleep(0.4)
        sock.sendall(("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nEngine-Signature: s\r\n"
                      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" %
                      request.get("Attempt-Id")).encode())
        for number in range(1, 6):
            time.sleep(0.05)
            event = b"id: %d\ndata: p\n\n" % number
            sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        sock.sendall(b"0\r\n\r\n")
        return True


def metric(vm, name):
    with socket.create_connection((vm.ip, vm.ports["metrics"]), 2) as sock:
        sock.sendall(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        reader = d.Reader(sock)
        answer = reader.head()
        reader.body(answer, False)
    return [line for line in answer.body.decode().split("\n") if name in line]


def case(deployment, trouble):
    vms = deployment.vms
    for i in range(1, 13):
        deployment.add_engine(Model, "i-%010d" % i, "lm-pool", zone=vms[i % 3].zone)
    deployment.store.put("op/config", d.configuration(7, [
        d.route("quote-draft", "/quote/", "stream", "lm-pool", 10000, 2, resumable=True),
    ], [d.tenant("planners", ["key-1"])]))
    deployment.start()
    time.sleep(3)
    caller = d.Caller(deployment, "c")
    end = threading.Event()

    def client(number):
        draw = random.Random(number)
        while not end.is_set():
            prefix = ",".join("%x:60" % draw.getrandbits(60) for _ in range(PARTS))
            caller.call(vms[number % len(vms)], "/quote/%d" % number, "key-1", deadline_ms=8000,
                        more=[("Model", "m"), ("Token-Usage", "1460,80"),
                              ("Prompt-Prefix", prefix)])

    clients = [threading.Thread(target=client, args=(i,)) for i in range(60)]
    for thread in clients:
        thread.start()
    time.sleep(5)
    for engine in deployment.engines[:3]:
        if trouble:
            engine.exit()
    time.sleep(8)
    for vm in vms:
        with open(os.path.join(deployment.folder, vm.name + ".log"), errors="replace") as log:
            suspicions = len(re.findall("to=suspect", log.read()))
        print(vm.name, metric(vm, "too_long"), suspicions, "suspicions")
    end.set()
    for thread in clients:
        thread.join()
    return ""


d.run_case(os.path.dirname(os.path.abspath(__file__)),
           ("kariakoo", "temeke", "mikocheni") * 2 + ("kariakoo", "temeke"), case)
