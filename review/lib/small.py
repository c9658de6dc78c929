"""A small deployment: seven nodes in three zones, pools with a queue each, a standby pool."""

import asyncio

ZONES = ["muc-a", "agb-b", "ros-c"]
STANDBY = "lohu93e"
HOST_NAME = "pule25.example"


def route(name, prefix, pool, attempts=3, timeout_ms=3000, advice=None):
    content = {"name": name, "host": HOST_NAME, "path_prefix": prefix, "type": "non_idempotent", "timeout_ms": timeout_ms,
               "target_latency_ms": 600, "priority": 0, "backend": pool, "attempts": attempts, "stretch": 2.0}
    if advice:
        content["advice"] = advice
    return content


def manifest(version, routes, pools, guards=True):
    services = [{"name": pool, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": False,
                 "enforces_capacity": guards, "standby": pool == STANDBY} for pool in [*pools, STANDBY]]
    return {"version": version, "routes": routes, "backends": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


def add_pool(world, pool, count, capacity=None):
    for number in range(count):
        world.add_machine(f"m-{pool[:2]}{number:03d}", pool, ZONES[number % 3], f"r{number % 3}-{number // 12}", capacity)


async def start(world, first_manifest, nodes=7):
    """Starts everything; returns a text if the nodes don't become ready."""
    world.standby = {STANDBY}
    await world.start_platform()
    world.store.put("op", "config", first_manifest)
    world.start_nodes(nodes, ZONES)
    if not await world.ready():
        return "the nodes are not ready"
    await asyncio.sleep(6)  # Traffic starts some seconds after the machines do.
    return None


def put_manifest(world, content):
    version = world.store.put("op", "config", content)
    routes = [each["name"] for each in content["routes"]]
    world.record.write(f"operator: op/config version {content['version']} with routes {routes} is acknowledged")
    return version
