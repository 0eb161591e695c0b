# Repeats the measurements in docs/CAPACITY.md; takes six to eight minutes.
capacity: all
	BUILD=$(BUILD) sh bench/capacity.sh

.PHONY: capacity
