"""A scheduler for agent programs: order, budget, history and deadlines."""

__all__ = ['__version__']

__version__ = '0.1.0'
