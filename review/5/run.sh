#!/usr/bin/env bash
# A faulty server sends wrong bytes in place of one of fifty answers. TROUBLE=0: it is sound.
exec "$(dirname "$0")/../run-scenario.sh" wrong-bytes review/5
