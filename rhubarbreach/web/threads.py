"""Pool of threads that run the connections of a server.

The pool of the standard library starts no thread for a task if it counts one
as idle. Its count is too high for good after a thread could not be started,
and a connection then waits until another one ends.
"""

import collections
import threading

from rhubarbreach import eventlog

__all__ = ['ThreadPool']

LOG = eventlog.Logger('web')


class ThreadPool:
    """Threads that run tasks in the order in which they were added.

    Parameters
    ----------
    max_threads : int
        Tasks beyond this number wait until a thread is idle.
    name : str
        Prefix of the thread names.
    """

    def __init__(self, max_threads, name):
        self.max_threads = max_threads
        self.name = name
        self.changed = threading.Condition()
        self.tasks = collections.deque()
        self.thread_count = 0
        # Threads that wait for a task, or have been started and will.
        self.idle_count = 0
        self.is_closed = False

    def add(self, task):
        """Add a task, for which `start_missing` has to be called."""
        with self.changed:
            self.tasks.append(task)
            self.changed.notify()

    def start_missing(self):
        """Start a thread if fewer are idle than tasks wait.

        Raises
        ------
        RuntimeError
            If the thread cannot be started. Any other thread runs the task
            when it is idle.
        """
        with self.changed:
            is_missing = self.idle_count < len(self.tasks)
            if not is_missing or self.thread_count >= self.max_threads:
                return
            self.thread_count += 1
            self.idle_count += 1
            name = f'{self.name}-{self.thread_count}'
        try:
            threading.Thread(target=self.run, name=name, daemon=True).start()
        except Exception:
            with self.changed:
                self.thread_count -= 1
                self.idle_count -= 1
            raise

    def run(self):
        """Run tasks until the pool is closed and none waits."""
        while True:
            with self.changed:
                while not (self.tasks or self.is_closed):
                    self.changed.wait()
                if not self.tasks:
                    return
                task = self.tasks.popleft()
                self.idle_count -= 1
            try:
                task()
            except Exception:
                LOG.exception('event=task_failed')
            del task
            with self.changed:
                self.idle_count += 1

    def close(self):
        """End the threads as soon as no task waits."""
        with self.changed:
            self.is_closed = True
            self.changed.notify_all()
