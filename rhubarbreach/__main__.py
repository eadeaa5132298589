"""Entry point of `python -m rhubarbreach`."""

from rhubarbreach.commands import main

if __name__ == '__main__':
    main.main()
