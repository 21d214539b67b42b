"""A TCP proxy whose open connections can go silent: nothing is forwarded on them any more, and none is closed.

While it is cut, new connections are silent too.
"""

import socket
import threading


class Proxy:
    def __init__(self, target):
        host, port = target.split(":")
        self.target = (host, int(port))
        self.connections = []
        self.is_cut = False
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            near, _ = self.listener.accept()
            far = socket.create_connection(self.target)
            connection = {"is_silent": self.is_cut}
            with self.lock:
                self.connections.append(connection)
            for one in (near, far):
                one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for source, sink in ((near, far), (far, near)):
                threading.Thread(target=self.forward, args=(connection, source, sink), daemon=True).start()

    @staticmethod
    def forward(connection, source, sink):
        try:
            while data := source.recv(65536):
                if not connection["is_silent"]:
                    sink.sendall(data)
        except OSError:
            pass
        if not connection["is_silent"]:
            for one in (source, sink):
                try:
                    one.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def silence(self):
        """Silences all open connections for good; new ones work. Returns their number."""
        with self.lock:
            for connection in self.connections:
                connection["is_silent"] = True
            count = len(self.connections)
            self.connections = []
        return count
