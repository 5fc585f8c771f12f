"""Follow the keyed topics of a metadata store."""
