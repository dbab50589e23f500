"""Many stand-in workers in one process: ``python -m bench.capacity.workers COUNT``.

Prints the port of each worker on a line of its own, then serves until it is killed.
"""

import sys
from threading import Thread

from stand_ins.server import StandInServer, make_handler
from stand_ins.worker import Worker


def main() -> None:
    """Serve each worker on its own port of the loopback address."""
    threads = []
    for _ in range(int(sys.argv[1])):
        server = StandInServer(("127.0.0.1", 0), make_handler(Worker().handle))
        threads.append(Thread(target=server.serve_forever))
        threads[-1].start()
        print(server.server_address[1], flush=True)
    for thread in threads:
        thread.join()


if __name__ == "__main__":
    main()
