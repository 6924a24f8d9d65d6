"""What servers speak: one attempt carried out, one outcome told, connections kept."""
