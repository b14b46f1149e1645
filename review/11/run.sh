#!/bin/bash
# Shows the case of claim.txt. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
# With TROUBLE=0 it does the same without the disruption.
exec bash "$(dirname "$0")/../standin-3/run-case.sh" adopted "$(dirname "$0")"
