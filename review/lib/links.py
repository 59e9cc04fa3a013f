"""The network between entry hosts: hosts reach each other through proxies, one before each host. The store stand-in hands out a proxy's address in
place of the address that a host announces, as a network that translates addresses does; nothing else of a record is touched."""
import asyncio
import json
import struct

from stands import Store


class LinkProxy:
    def __init__(self, target):
        self.target, self.opened, self.generation, self.writers = target, 0, 0, set()

    async def listen(self):
        self.server = await asyncio.start_server(self.connect, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def silence(self):
        """Connections that are open now pass nothing any more, in either direction, and stay open. Later ones work."""
        self.generation += 1

    async def connect(self, reader, writer):
        self.opened += 1
        ip, port = self.target.rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.close()
            return
        self.writers |= {writer, far_writer}
        generation = self.generation
        await asyncio.gather(self.pump(reader, far_writer, generation), self.pump(far_reader, writer, generation))

    async def pump(self, reader, writer, generation):
        try:
            while data := await reader.read(65536):
                if generation == self.generation:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if generation == self.generation:
            writer.close()

    async def close(self):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


class NetworkStore(Store):
    def __init__(self):
        super().__init__()
        self.proxies = {}  # by the address of the host behind it

    async def append(self, query, body):
        if query["topic"] == "keyed.control" and b"host/" in body:
            body = await self.with_proxies(body)
        return await super().append(query, body)

    async def with_proxies(self, body):
        out = b""
        while body:
            (length,) = struct.unpack(">I", body[:4])
            content, body = body[4 : 4 + length], body[4 + length :]
            key, value = content[1 : 1 + content[0]], content[1 + content[0] :]
            if key.startswith(b"host/"):
                announced = json.loads(value)
                proxy = self.proxies.get(announced["peers"])
                if proxy is None:
                    proxy = self.proxies[announced["peers"]] = LinkProxy(announced["peers"])
                    await proxy.listen()
                value = json.dumps(announced | {"peers": proxy.address}).encode()
            out += struct.pack(">I", 1 + len(key) + len(value)) + bytes([len(key)]) + key + value
        return out

    async def close(self):
        for proxy in self.proxies.values():
            await proxy.close()
        await super().close()
