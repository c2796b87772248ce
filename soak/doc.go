// Package soak holds the fault soak: it runs the real programs as processes of their own over
// stand-ins for the platform, makes them suffer from outside, and checks while they run what
// callers and workers must be able to rely on. All of it is in test files.
//
// A seed decides what befalls whom and when. What the processes make of it is their own, so the
// same seed takes another course each time; what is checked holds on each of them.
//
// # Usage
//
//	go test ./soak                                                        # one short seed, and those that ever broke a promise
//	AMBERTILLER_SOAK=50 AMBERTILLER_SOAK_SEED=1 go test -timeout 3h ./soak   # fifty, from seed 1 on
//	AMBERTILLER_SOAK_AGENTS=60 AMBERTILLER_SOAK_FOR=2m go test ./soak        # larger, longer
//	AMBERTILLER_SOAK_LOGS=DIR go test ./soak                                 # keep the logs
package soak
