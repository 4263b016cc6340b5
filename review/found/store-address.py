"""Not a case: machines go on reading the store at its old address after the
settings file names a new one and SIGHUP has said so. A key that is withdrawn
afterwards stays in use. TROUBLE=0: the settings are written again unchanged."""
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../kit"))
import deployment as d


def case(deployment, trouble):
    record, store = deployment.record, deployment.store
    deployment.add_engine(d.Engine, "i-1", "orders-app", slots=6)
    routes = [d.route("deposit-post", "/deposit/", "non_idempotent", "orders-app")]
    store.put("op/config", d.configuration(7, routes, [
        d.tenant("planners", ["key-1"]), d.tenant("cutters", ["key-2"])]))
    deployment.start()
    time.sleep(3)
    old = store.address
    if trouble:
        store.add_address("127.41.0.2")
    for vm in deployment.vms:
        vm.write_settings()
        vm.signal(signal.SIGHUP)
        record.write("SIGHUP to " + vm.name)
    time.sleep(5)
    if trouble:
        store.close_address(old)
    time.sleep(8)
    store.put("op/config", d.configuration(9, routes, [
        d.tenant("planners", ["key-1"]), d.tenant("cutters", [])]))
    record.write("the store acknowledged that key-2 is withdrawn")
    time.sleep(6)
    caller = d.Caller(deployment, "c")
    late = [caller.call(deployment.vms[i % 3], "/deposit/%d" % i, "key-2") for i in range(30)]
    served = late.count(200)
    return "CONFIG: %d of 30 requests with a withdrawn key ran" % served if served else ""


d.run_case(os.path.dirname(os.path.abspath(__file__)),
           ("kariakoo", "temeke", "mikocheni"), case)
