"""Prints what this process does to standard error on SIGUSR1: where the tasks
of its event loop wait, and the stacks of its threads.

Run as a program, it waits for an event that does not come, to be tested by.
"""
import asyncio
import collections
import faulthandler
import io
import signal
import sys


def print_tasks(_signal_number, _frame):
    try:
        tasks = asyncio.all_tasks()
    except RuntimeError:  # no event loop runs
        return
    stacks = collections.Counter()
    for task in tasks:
        text = io.StringIO()
        task.print_stack(file=text)
        stacks["".join(text.getvalue().splitlines(True)[1:])] += 1
    for stack, count in stacks.most_common():
        print(f"{count} tasks:\n{stack}", file=sys.stderr)
    sys.stderr.flush()


def register():
    signal.signal(signal.SIGUSR1, print_tasks)
    faulthandler.register(signal.SIGUSR1, chain=True)


async def wait_for_event():
    await asyncio.Event().wait()


if __name__ == "__main__":
    register()
    asyncio.run(wait_for_event())
