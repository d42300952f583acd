#!/usr/bin/env bash
# A server leaves while a machine is cut off from the store. TROUBLE=0: the machine is not cut off.
exec "$(dirname "$0")/../run-scenario.sh" leaving-server review/4
