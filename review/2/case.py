"""Requests that are smuggled in the body of another one are run."""
import gzip
import os
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../kit"))
import deployment as d

# Framings of a body whose length the recipient cannot know: the final transfer
# coding is not "chunked". RFC 9112, section 6.3, demands status 400 and the end
# of the connection.
UNSOUND = ["Transfer-Encoding: identity", "Transfer-Encoding: gzip",
           "Transfer-Encoding: chunked, identity", "Transfer-Encoding: xchunked"]
# A sound one: compressed for this hop, and in chunks.
SOUND = "Transfer-Encoding: gzip, chunked"


def head(method, path, name, framing):
    return ("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 1000\r\n"
            "Authorization: Token key-1\r\n%s\r\n" % (method, path, d.HOST, name, framing))


def case(deployment, trouble):
    record = deployment.record
    engine = deployment.add_engine(d.Engine, "i-1", "orders-app", slots=6)
    deployment.store.put("op/config", d.configuration(7, [
        d.route("deposit-post", "/deposit/", "non_idempotent", "orders-app"),
        d.route("stock-read", "/stock/", "idempotent", "orders-app", attempts=2),
    ], [d.tenant("planners", ["key-1"])]))
    deployment.start()
    time.sleep(1)

    sent = {}  # Attempt-Id: (start line, body) of the requests that clients sent
    for number, framing in enumerate(UNSOUND + [SOUND]):
        outer = "00000000000000a%d" % number
        # What the client submits as the data of its request, such as a note that
        # somebody else wrote.
        body = head("POST", "/deposit/99", "00000000000000b%d" % number,
                    "Content-Length: 0\r\n").encode()
        sent[outer] = ("POST /deposit/%d HTTP/1.1" % number, body)
        framing = framing if trouble else "Content-Length: %d" % len(body)
        wire = body
        if framing == SOUND:
            packed = gzip.compress(body)
            wire = b"%x\r\n%s\r\n0\r\n\r\n" % (len(packed), packed)
        with socket.create_connection(deployment.vms[0].front, 2) as sock:
            sock.settimeout(1)
            sock.sendall(head("POST", "/deposit/%d" % number, outer,
                              framing + "\r\n").encode() + wire)
            answer = b""
            try:
                while True:
                    data = sock.recv(65536)
                    if not data:
                        break
                    answer += data
            except socket.timeout:
                pass
        record.write("client sent %s with %s and %d bytes, got %r" % (
            outer, framing, len(body), answer.split(b"\r\n")[0]))

    broken = []
    for _, name, start, request in engine.runs:
        if name not in sent:
            broken.append("%s ran, which no client sent" % name)
        elif (start, request.body) != sent[name]:
            broken.append("%s ran with another body (%d bytes instead of %d)" % (
                name, len(request.body), len(sent[name][1])))
    for text in broken:
        record.write(text)
    if not trouble and len(engine.runs) != len(sent):
        raise d.CannotRun("not all requests ran")
    return "UNASKED: " + "; ".join(broken) if broken else ""


d.run_case(os.path.dirname(os.path.abspath(__file__)), ("kariakoo",), case)
