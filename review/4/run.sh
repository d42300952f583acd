#!/usr/bin/env bash
# A key is withdrawn as soon as the store is back from a copy. TROUBLE=0: the store never goes away.
exec "$(dirname "$0")/../run-scenario.sh" rollback-config review/4
