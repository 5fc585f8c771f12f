"""Render the read-only status page of a host as HTML without script."""

from agatetack.metrics import Metrics
from agatetack.operators.access import Operator
from agatetack.operators.backend import OperatorsBackend


def render_page(
    backend: OperatorsBackend, metrics: Metrics, operator: Operator
) -> str:
    """Return the page with what `operator` may see."""
    return f"<!DOCTYPE html><title>{backend.status().host_id}</title>"
