"""Handling of caller requests: admission, forwarding and batch jobs."""

from rhubarbreach.gateway import app
from rhubarbreach.gateway import decide
from rhubarbreach.gateway import forward
from rhubarbreach.gateway import jobs
from rhubarbreach.gateway import model

__all__ = ['app', 'decide', 'forward', 'jobs', 'model']
