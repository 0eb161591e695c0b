# Targets: soak (the seeds in soak/seeds.txt) and soak-long (many seeds).

SOAK_JOBS = 4
SOAK_SEEDS = 50
SOAK_FIRST = 1

# Runs three fixed seeds, and every seed that once found a fault.
soak: $(BUILD)/jhsoak $(BUILD)/jhplatform
	BUILD=$(BUILD) JOBS=$(SOAK_JOBS) sh soak/run.sh kept

# Runs SOAK_SEEDS seeds from SOAK_FIRST on; SOAK_FIRST=random chooses the first
# one at random.
soak-long: $(BUILD)/jhsoak $(BUILD)/jhplatform
	BUILD=$(BUILD) JOBS=$(SOAK_JOBS) sh soak/run.sh $(SOAK_FIRST) \
	    $(SOAK_SEEDS)

.PHONY: soak soak-long
