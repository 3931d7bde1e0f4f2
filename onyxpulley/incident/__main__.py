from onyxpulley.incident.cli import main

main()
