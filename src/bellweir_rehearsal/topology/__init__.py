"""Starts the processes of a deployment on this machine and ends them by their process ids."""
