"""The gateway's HTTP connections and their server."""

from bellweir.gateway.parser import GatewayRequestParser
from bellweir.gateway.tasks import GatewayErrorTask
from bellweir.http_server.channel import ServerChannel
from bellweir.http_server.server import HttpServer


class GatewayChannel(ServerChannel):
    """One connection of a caller of the gateway."""

    parser_class = GatewayRequestParser
    error_task_class = GatewayErrorTask


class GatewayServer(HttpServer):
    """Serves the gateway's application."""

    channel_class = GatewayChannel
