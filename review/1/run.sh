#!/usr/bin/env bash
# A faulty server sends interim responses without end. TROUBLE=0: it is sound.
exec "$(dirname "$0")/../run-scenario.sh" interim-flood review/1
