# Reruns what docs/CAPACITY.md stands on; takes about five minutes.
capacity: all
	BUILD=$(BUILD) sh bench/capacity.sh

.PHONY: capacity
