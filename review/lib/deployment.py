"""A small deployment for the scripts: three entry hosts in three zones, model replicas, a plain service, and clients."""
import asyncio
import itertools

from stands import ModelReplica, PlainReplica, fetch

ZONES = ["centraal-een", "centraal-twee", "centraal-drie"]
MODEL_MB, ADAPTER_MB = 65100.0, 12.0


def configuration(models, max_adapters=16, timeout_ms=10000, target_ms=1000, version=7, model_mb=MODEL_MB, adapter_mb=ADAPTER_MB):
    stream = {"name": "r1", "host": "ficu95.example", "path_prefix": "/lohu930/", "type": "streaming", "timeout_ms": timeout_ms, "target_latency_ms": target_ms}
    stream |= {"priority": 0, "service": "taalmodellen", "max_attempts": 1, "session_affinity": True, "resumable": False, "target_itl_ms": 600}
    plain = {"name": "r2", "host": "ficu95.example", "path_prefix": "/puxa403/", "type": "non_idempotent", "timeout_ms": 800, "target_latency_ms": 150}
    plain |= {"priority": 2, "service": "planner-app", "max_attempts": 1}
    runtime = {"slots": 64, "kv_capacity": 251641, "weights_mb": 67000.0, "max_adapters": max_adapters, "loads_per_s": 3.1}
    runtime["models"] = [{"name": name, "weights_mb": model_mb, "load_time_s": 1.9, "adapters": 100, "adapter_mb": adapter_mb, "disk_load_s": 0.76} for name in models]
    services = [{"name": "taalmodellen", "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": False, "runtime": runtime}]
    services.append({"name": "planner-app", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": False})
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    return {"version": version, "routes": [stream, plain], "services": services, "limits": limits}


def spec_of(models, max_adapters=16, slots=64, model_mb=MODEL_MB, adapter_mb=ADAPTER_MB):
    of_each = {"weights_mb": model_mb, "load_time_s": 1.9}
    return {"service": "taalmodellen", "slots": slots, "weights_mb": 67000.0, "max_adapters": max_adapters, "adapter_mb": adapter_mb, "models": {name: of_each for name in models}}


class Deployment:
    def __init__(self, world, models, max_adapters=16, target_ms=1000, model_mb=MODEL_MB, adapter_mb=ADAPTER_MB):
        self.world, self.models, self.max_adapters, self.target_ms = world, models, max_adapters, target_ms
        self.model_mb, self.adapter_mb = model_mb, adapter_mb
        self.numbers = itertools.count(1)
        self.replicas = []

    async def start(self, held, hosts=3, slots=64):
        """`held`: the base model of each replica, or several in a tuple."""
        await self.world.store.listen()
        await self.world.store.put("keyed.op", "config", configuration(self.models, self.max_adapters, target_ms=self.target_ms, model_mb=self.model_mb, adapter_mb=self.adapter_mb))
        for model in held:
            await self.add_replica(model, slots=slots)
        plain = PlainReplica(self.world, "i-planner1", "planner-app", ZONES[0])
        self.world.servers.append(plain)
        await plain.start()
        for number in range(hosts):
            host = self.world.add_host("edge-%s-1" % ZONES[number], ZONES[number])
            host.start()
        self.world.spawn(self.world.check_health())
        assert await self.world.wait_until(lambda: all(host.in_rotation for host in self.world.hosts), 15), "the hosts don't get ready"

    async def add_replica(self, model, slots=64, service="taalmodellen", name=None, zone=None):
        number = len(self.replicas) + 1
        spec = spec_of(self.models, self.max_adapters, slots, self.model_mb, self.adapter_mb) | {"service": service}
        replica = ModelReplica(self.world, name or "i-taal%d" % number, zone or ZONES[(number - 1) % len(ZONES)], spec, model)
        self.world.servers.append(replica)
        self.replicas.append(replica)
        await replica.start()
        self.world.note("replica %s joins, holding %s" % (replica.name, sorted(replica.models) or "nothing"))
        return replica

    async def stream(self, host, weights, deadline_ms=10000, events=10, pause_ms=50, target="/lohu930/2f"):
        """Status (0: the connection ended without a whole answer), attempt, seconds."""
        attempt = "q%06d" % next(self.numbers)
        fields = [("Host", "ficu95.example"), ("X-Attempt-Id", attempt), ("X-Model-Id", weights), ("X-Deadline-Ms", str(deadline_ms)), ("X-Token-Usage", "491,70")]
        fields += [("X-Prompt-Prefix", "5c1e07a2:155,%06x:491" % next(self.numbers)), ("X-Test-Events", str(events)), ("X-Test-Pause-Ms", str(pause_ms))]
        begun = asyncio.get_running_loop().time()
        self.world.note("%s sent to %s, %s for %s" % (attempt, host.name, target, weights))
        try:
            status, _, body = await asyncio.wait_for(fetch("%s:%d" % (host.ip, host.FRONTEND), "POST", target, fields, b"prompt of " + attempt.encode()), deadline_ms / 1000 + 1)
            if status == 200 and body.count(b"\n\n") != events:
                status = -1
            self.world.note("%s answered %d" % (attempt, status))
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as reason:
            status = 0
            self.world.note("%s at %s: no answer: %r" % (attempt, host.name, reason))
        return status, attempt, asyncio.get_running_loop().time() - begun


def with_new_service(before, version, service, prefix):
    """The configuration with one more model service and a route to it, both like the first ones."""
    route = before["routes"][0] | {"name": "r%d" % version, "path_prefix": prefix, "service": service}
    return before | {"version": version, "routes": [*before["routes"], route], "services": [*before["services"], before["services"][0] | {"name": service}]}
