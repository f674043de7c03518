"""Trainers: declare steps, pull and acknowledge samples, publish new weight versions."""
