"""Entry point of ``python -m lotuspick``."""

from lotuspick.program.cli import main

if __name__ == "__main__":
    main()
