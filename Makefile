# make demo | build | tools | fault-injection | soak | bench | classes | test | lint | run; run takes CONFIG=path, by default the example's.
CONFIG ?= examples/configuration.json
RUN = $(shell sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
BUILD = $(shell sed -n 's/^build = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
POLICY = $(shell sed -n 's/^policy = \[\(.*\)\].*/\1/p' deploy/balancer.toml | tr -d '",')

.PHONY: members-tables demo build tools fault-injection soak bench classes test lint run
build:
	$(BUILD)

# The command line and all that stands beside the gateway: bin/tillerlink starts it.
tools:
	mvn -q -DskipTests package

demo: tools
	bin/tillerlink demo

# Faults over several processes of the program on loopback, drawn from SEED, for MINUTES: ends with 0 only if nothing broke.
# ONCE=1 plays only the one seed, as a run that found something has told it.
SEED ?= 1
MINUTES ?= 5
fault-injection: tools
	java -Dtillerlink.invariants=true -cp faultinjection/target/classes:tools/target/tillerlink-tools.jar \
	    tillerlink.faultinjection.FaultInjectionRunner $(SEED) $(MINUTES) $(if $(ONCE),once)

# Overlapping faults over many real processes, drawn from SEED, judged from outside by the seven rules; docs/soak.md.
# ONCE=1 plays only the one seed, as a soak that found something has told it.
PROCESSES ?= 12
soak: tools
	java -cp faultinjection/target/classes:tools/target/tillerlink-tools.jar \
	    tillerlink.faultinjection.soak.Soak $(SEED) $(MINUTES) $(PROCESSES) $(if $(ONCE),once)

# Data structures made for the job against plain ones; FOR=Name plays one of them.
bench:
	mvn -q -P bench -DskipTests package
	java -jar bench/target/tillerlink-bench.jar $(FOR)

# The classes that a gateway loads, for its archive: run it, use it, end it with Ctrl-C. To be made anew when libraries change.
classes: build
	EDGE_CONFIG=$(CONFIG) sh -c '$(subst -XX:SharedArchiveFile=target/tillerlink.jsa,-XX:DumpLoadedClassList=deploy/classes.lst,$(RUN))'

test:
	mvn -B -ntp clean verify

# What the formatter and the linters of the build don't judge: every compiler warning is an error, but for the one on
# signals, for which the JDK has no other way; the platform's bound on lines of the files it names under policy; imports
# of packages go one way, without circles.
lint:
	mvn -q -B clean
	mkdir -p target
	mvn -B -ntp -DskipTests -l target/lint.log test-compile
	! grep '^.WARNING.*[.]java' target/lint.log | grep -v 'sun.misc.Signal[A-Za-z]* is internal'
	test -n '$(POLICY)'
	! grep -rnE '.{111,}' $(POLICY)
	! grep -rHE '^import (static )?tillerlink[.]' */src/main --include=*.java | sed -E \
	    -e 's#^[a-z0-9]+/src/main/java/(.*)/[A-Za-z0-9]+[.]java:import (static )?(tillerlink([.][a-z0-9]+)*).*#\1 \3#' \
	    -e 's#/#.#g' | awk '$$1 != $$2' | sort -u | tsort 2>&1 | grep -A 20 loop

run: build
	EDGE_CONFIG=$(CONFIG) sh -c '$(RUN)'

# The tables of docs/members-design.md, from virtual time; ONLY=detection,pauses,starved,bytes,heal,memory,others plays some.
ONLY ?= detection,pauses,starved,bytes,heal,memory,others
members-tables:
	mvn -q -pl members -am test -Dtest=MeasureMembers -Dsurefire.failIfNoSpecifiedTests=false -DargLine="-Dtables=$(ONLY)"
