"""Simulate partner sites in memory: random seeds, exhaustive small state spaces and a hostile site."""
