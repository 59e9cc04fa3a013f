"""Many adapters are asked for at once (burst of rare models) at replicas that hold two base models each."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from deployment import Deployment  # noqa: E402
from stands import run_case  # noqa: E402

MODELS, MODEL_MB, ADAPTER_MB = ["daka51", "mibo17"], 30000.0, 600.0  # both fit on a replica of 67,000 MB, with 11 adapters
USUAL_PAUSE, BURST_X = 0.1, 2.4  # ten requests a second, in the burst 24
USUAL_ADAPTERS, BURST_ADAPTERS, BURST_SECONDS = 4, 20, 4.0  # of each model


async def ask(world, deployment, answers, adapters, seconds, pause):
    until, count = asyncio.get_running_loop().time() + seconds, 0
    while asyncio.get_running_loop().time() < until:
        count += 1

        async def one(host=world.hosts[count % 3], weights="%s/a%d" % (MODELS[count % 2], count // 2 % adapters + 1)):
            answers.append((await deployment.stream(host, weights, events=20, pause_ms=50))[:2])

        world.spawn(one())
        await asyncio.sleep(pause)


async def main(world, trouble):
    deployment, answers = Deployment(world, MODELS, model_mb=MODEL_MB, adapter_mb=ADAPTER_MB), []
    await deployment.start([tuple(MODELS)] * 3)
    usual = world.spawn(ask(world, deployment, answers, USUAL_ADAPTERS, 20, USUAL_PAUSE))
    assert await world.wait_until(lambda: sum(1 for answer in answers if answer[0] == 200) > 20, 15), "no request is served"
    await asyncio.sleep(2)
    if trouble:
        world.note("burst: %d adapters of each model" % BURST_ADAPTERS)
        await ask(world, deployment, answers, BURST_ADAPTERS, BURST_SECONDS, USUAL_PAUSE / (BURST_X - 1))
    await usual
    await asyncio.sleep(6)
    for status in sorted({answer[0] for answer in answers}):
        world.note("answers of status %d: %d" % (status, sum(1 for answer in answers if answer[0] == status)))
    ran = {attempt for replica in deployment.replicas for attempt in replica.ran}
    world.note("requests that a replica had begun and that got no whole answer: %d" % sum(1 for status, attempt in answers if status != 200 and attempt in ran))
    return [overload for replica in deployment.replicas for overload in replica.overloads]


sys.exit(run_case(FOLDER, main))
