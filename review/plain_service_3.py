"""A sound plain service in the process of a case. It notes each run in the record."""
import asyncio

from deployment_3 import read_request, response


class PlainService:
    def __init__(self, name, record, work_s=0):
        self.name, self.record, self.work_s = name, record, work_s
        self.runs = []
        self.port = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                method, target, fields, body = request
                request_id = fields.get("x-request-id", "")
                if fields.get("x-expect-instance", self.name) != self.name:
                    writer.write(response(421, [("X-Instance-Id", self.name),
                                                ("X-Not-Executed", "1")]))
                    continue
                self.record.write("server %s runs %s: %s %s, tenant %s, body of %d bytes" % (
                    self.name, request_id, method, target, fields.get("x-tenant"), len(body)))
                self.runs.append(request_id)
                await asyncio.sleep(self.work_s)
                self.record.write("server %s answers %s" % (self.name, request_id))
                head = [("X-Request-Id", request_id), ("X-Instance-Id", self.name),
                        ("X-Response-Stamp", "stamp-" + request_id)]
                writer.write(response(200, head, b"done " + request_id.encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
