# Reruns what docs/CAPACITY.md stands on; takes six to eight minutes.
capacity: all
	BUILD=$(BUILD) sh bench/capacity.sh

.PHONY: capacity
