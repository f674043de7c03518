"""Commands on resources, spoken over HTTP to any node's gateway."""

from bellweir.cli.resources.apply import ApplyCommand
from bellweir.cli.resources.delete import DeleteCommand
from bellweir.cli.resources.describe import DescribeCommand
from bellweir.cli.resources.diff import DiffCommand
from bellweir.cli.resources.explain import ExplainCommand
from bellweir.cli.resources.get import GetCommand
from bellweir.cli.resources.status import StatusCommand
from bellweir.cli.resources.wait import WaitCommand
from bellweir.cli.resources.watch import WatchCommand

__all__ = [
    "ApplyCommand",
    "DeleteCommand",
    "DescribeCommand",
    "DiffCommand",
    "ExplainCommand",
    "GetCommand",
    "StatusCommand",
    "WaitCommand",
    "WatchCommand",
]
