"""An engine in a process of its own: `engine.py NAME`.

Its answers have no length and end with their channel, but for those below /look/.

It prints its address, and a line for each run and each end of one.
"""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
from deployment import Engine  # noqa: E402

PIECES = 10
PIECE_S = 0.2


def piece(number):
    return f"id: {number}\ndata: piece {number} of {PIECES}\n\n".encode()


class Lines:
    """Stands in for a record, in an engine that another process watches."""

    @staticmethod
    def now():
        return time.monotonic()

    @staticmethod
    def write(line):
        print(line, flush=True)


class Unframed(Engine):
    def respond(self, handler, run, headers):
        if run["target"].startswith("/look/"):
            handler.answer(200, b"framed", headers)
            return
        handler.send_response_only(200)
        for name, value in headers:
            handler.send_header(name, value)
        if run["target"].startswith("/stream"):
            handler.send_header("Content-Type", "text/event-stream")
        handler.end_headers()
        handler.wfile.flush()
        for number in range(1, PIECES + 1):
            time.sleep(PIECE_S)
            handler.wfile.write(piece(number))
            handler.wfile.flush()
        handler.close_connection = True
        self.record.write(f"engine {self.name} ends {run['attempt']}")


if __name__ == "__main__":
    engine = Unframed(Lines, sys.argv[1])
    print(f"address {engine.address}", flush=True)
    threading.Event().wait()
