"""Hold benchmarks; each is a module or package that runs by itself."""
