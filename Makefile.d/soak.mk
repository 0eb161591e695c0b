# Targets: soak (the kept seeds) and soak-long (many).

SOAK_JOBS = 4
SOAK_SEEDS = 50
SOAK_FIRST = 1

# Every seed that once found a fault, and three that are always played.
soak: $(BUILD)/jhsoak $(BUILD)/jhplatform
	BUILD=$(BUILD) JOBS=$(SOAK_JOBS) sh soak/run.sh kept

# SOAK_SEEDS seeds from SOAK_FIRST on; SOAK_FIRST=random draws the first one.
soak-long: $(BUILD)/jhsoak $(BUILD)/jhplatform
	BUILD=$(BUILD) JOBS=$(SOAK_JOBS) sh soak/run.sh $(SOAK_FIRST) \
	    $(SOAK_SEEDS)

.PHONY: soak soak-long
