"""Fault injection between real daemons, judged by a history recorded outside them."""
