#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: without any disruption. TROUBLE=final: with the final fault only. TROUBLE=two:
# two cuts, and a final fault in which no disk is lost.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/quayd ] && [ -x target/review-3/lab3 ] || exit 2
exec target/review-3/lab3 -case conflict -quayd target/quayd -record review/11/record.txt -trouble "${TROUBLE:-1}"
