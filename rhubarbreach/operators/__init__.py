"""Calls of operators over gRPC."""

from rhubarbreach.operators import client
from rhubarbreach.operators import convert
from rhubarbreach.operators import fleet
from rhubarbreach.operators import operators_pb2
from rhubarbreach.operators import operators_pb2_grpc
from rhubarbreach.operators import provider
from rhubarbreach.operators import server
from rhubarbreach.operators import service

__all__ = [
    'client',
    'convert',
    'fleet',
    'operators_pb2',
    'operators_pb2_grpc',
    'provider',
    'server',
    'service',
]
