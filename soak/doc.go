// Package soak tests the whole system under injected faults. It runs gateways and agents as separate
// processes over stand-ins for the platform, injects faults from outside, and checks while they run that the
// guarantees to callers and workers hold. All of its code is in test files.
//
// A seed determines which faults are injected, into what and when. The timing of the processes is not
// deterministic, so that two runs with the same seed differ. The checks hold for every run.
//
// # Usage
//
//	go test ./soak                                                        # one short seed, and all regression seeds
//	AMBERTILLER_SOAK=50 AMBERTILLER_SOAK_SEED=1 go test -timeout 3h ./soak   # 50 seeds, starting with seed 1
//	AMBERTILLER_SOAK_AGENTS=60 AMBERTILLER_SOAK_FOR=2m go test ./soak        # more agents, and faults for longer
//	AMBERTILLER_SOAK_LOGS=DIR go test ./soak                                 # keep the logs
package soak
