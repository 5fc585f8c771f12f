"""Keep the accepted routes: the fold of the configuration stream."""
