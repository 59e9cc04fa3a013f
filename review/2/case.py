"""A host that gets SIGTERM (roll_term) has read requests that wait for an adapter: their connections must not end without an answer."""
import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from deployment import Deployment  # noqa: E402
from stands import run_case  # noqa: E402

MODEL, PLACES, REPLICAS = "daka51", 4, 2
HOG_EVENTS, HOG_PAUSE_MS = 21, 400  # 8.4 s, inside the route's 10 s and with pauses below 600 ms
WAITING = 6


async def main(world, trouble):
    deployment = Deployment(world, [MODEL], PLACES, target_ms=2500)
    await deployment.start([MODEL] * REPLICAS)
    first, second, stopping = world.hosts
    assert await world.wait_until(lambda: warm(deployment, first), 20), "no request is served"
    await asyncio.sleep(4)
    # Ordinary load: a long stream on each of the adapters that the replicas have places for.
    hogs = [world.spawn(deployment.stream((first, second)[number % 2], "%s/a%d" % (MODEL, number + 1), events=HOG_EVENTS, pause_ms=HOG_PAUSE_MS)) for number in range(PLACES * REPLICAS)]
    await asyncio.sleep(0.6)
    world.note("long streams that run: %s" % [len(replica.running) for replica in deployment.replicas])
    waiting = [world.spawn(deployment.stream(stopping, "%s/a%d" % (MODEL, 50 + number))) for number in range(WAITING)]
    await asyncio.sleep(0.3)
    if trouble:
        stopping.signal(signal.SIGTERM)
        begun = asyncio.get_running_loop().time()
        code = await stopping.ended(9)
        world.note("host %s ended with %s, %.2f s after SIGTERM" % (stopping.name, code, asyncio.get_running_loop().time() - begun))
    broken = []
    for task in waiting:
        status, attempt, took = await task
        world.note("%s: status %d after %.2f s of 10 s" % (attempt, status, took))
        if status == 0 and took < 9.9:
            broken.append("%s: the connection ended after %.2f s without an answer; ran at replicas: %d" % (attempt, took, sum(replica.ran.get(attempt, 0) for replica in deployment.replicas)))
    for task in hogs:
        world.note("long stream: status %d after %.2f s" % (await task)[::2])
    return broken


async def warm(deployment, host):
    return (await deployment.stream(host, MODEL + "/a1"))[0] == 200


sys.exit(run_case(FOLDER, main))
