#!/bin/sh
# Prints a care and safety manual of about 400 KB, always the same text.
awk 'BEGIN {
	split("rinse dry warm coat towel water pressure nozzle filter drain", w, " ")
	for (i = 1; i <= 4000; i++)
		printf "Section %d. Check the %s before the %s; keep the %s clear of the %s and note step %d.\n", \
		    i, w[i % 10 + 1], w[(i * 3) % 10 + 1], w[(i * 7) % 10 + 1], w[(i * 9 + 4) % 10 + 1], i * 17 % 1000
}'
