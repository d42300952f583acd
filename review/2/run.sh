#!/usr/bin/env bash
# The store comes back from a copy in the middle of a rolling restart. TROUBLE=0: it does not.
exec "$(dirname "$0")/../run-scenario.sh" rollback-orders review/2
