"""A replica of a new model service joins (scale_out) before the configuration that names the service and a route to it (config_change)."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from deployment import Deployment, configuration, with_new_service  # noqa: E402
from stands import BOUNDS, run_case  # noqa: E402

MODEL, SERVICE, PREFIX, FIRST_PREFIX = "daka51", "offertemodellen", "/wixo417/", "/lohu930/"
BETWEEN_SECONDS = 4.0  # between the replicas and the configuration
ASKED_SECONDS, JOINING = 20, 1  # a quarter of the four replicas that serve


async def main(world, trouble):
    deployment = Deployment(world, [MODEL])
    await deployment.start([MODEL] * 3)
    assert await world.wait_until(lambda: served(deployment, world.hosts[0]), 20), "no request is served"
    following = with_new_service(configuration([MODEL]), 9, SERVICE, PREFIX)

    async def configure():
        await world.store.put("keyed.op", "config", following)
        world.note("configuration 9 is acknowledged: service %s, route %s" % (SERVICE, PREFIX))

    if not trouble:
        await configure()
        await asyncio.sleep(BETWEEN_SECONDS)
    for _ in range(JOINING):
        await deployment.add_replica(MODEL, service=SERVICE)
    await asyncio.sleep(BETWEEN_SECONDS)
    if trouble:
        await configure()
    await asyncio.sleep(BOUNDS["config_apply_ms"] / 1000 + 3)
    answers = {PREFIX: [], FIRST_PREFIX: []}
    tasks = []
    for number in range(ASKED_SECONDS * 4):
        for prefix in answers:

            async def one(prefix=prefix, host=world.hosts[number % 3], weights="%s/a%d" % (MODEL, number % 12)):
                answers[prefix].append((await deployment.stream(host, weights, target=prefix + "2f"))[0])

            tasks.append(world.spawn(one()))
        await asyncio.sleep(0.25)
    await asyncio.gather(*tasks)
    for prefix, statuses in answers.items():
        world.note("route %s: %s" % (prefix, {status: statuses.count(status) for status in sorted(set(statuses))}))
    share = {prefix: statuses.count(200) / len(statuses) for prefix, statuses in answers.items()}
    world.note("orders to the new service's replicas: %d" % sum(len(replica.orders) for replica in deployment.replicas[3:]))
    if share[PREFIX] < share[FIRST_PREFIX] / 4:
        return ["of %d requests on the route that was added %.0f%% were served, of those on the first route %.0f%%" % (len(answers[PREFIX]), 100 * share[PREFIX], 100 * share[FIRST_PREFIX])]
    return []


async def served(deployment, host):
    return (await deployment.stream(host, MODEL + "/a1"))[0] == 200


sys.exit(run_case(FOLDER, main))
