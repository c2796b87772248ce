package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	// defaultFaultDuration is how long faults come, maxSettleTime how long accepted jobs may then take
	// to end: it only ends a run that would fail.
	defaultFaultDuration = 25 * time.Second
	maxSettleTime        = 90 * time.Second
	// startupDelay lets the processes find each other.
	startupDelay      = 3 * time.Second
	defaultAgentCount = 6
	defaultSeed       = 6
	clientCount       = 2
)

// regression is a seed that broke a promise. It is played with the lists of faults that there were then.
type regression struct {
	listCount int
	cause     string
}

// regressionSeeds are the seeds that broke a promise, and by what.
var regressionSeeds = map[uint64]regression{
	11:  {1, "an end that its owner was not told outlived the owner's grant"},
	21:  {1, "the same"},
	22:  {1, "the same, and an order that came late on an older connection was taken"},
	23:  {1, "the same, and an agent that had come back was granted time on the clock of its process before"},
	1:   {3, "a worker that started again under its id was taken for the one before"},
	2:   {3, "the same"},
	3:   {3, "the same"},
	4:   {3, "the same"},
	5:   {4, "a worker that had started again refused its agent's questions for their token, and was never used again"},
	223: {4, "a life was said to be over before the end of a run was heard that the next one had carried out"},
	126: {3, "a word on an end that was meant for the agent's process before it named another one to the next"},
}

// faultListCount returns how many lists of faults a seed is played with.
func faultListCount(seed uint64) int {
	if kept, found := regressionSeeds[seed]; found {
		return kept.listCount
	}
	return len(faultLists)
}

// TestProcessSoak plays seeds of faults against real processes, side by side.
func TestProcessSoak(t *testing.T) {
	binary := buildBinary(t)
	first, count := intFromEnv(t, "AMBERTILLER_SOAK_SEED", defaultSeed), intFromEnv(t, "AMBERTILLER_SOAK", 1)
	seeds := map[uint64]bool{}
	for seed := range count {
		seeds[uint64(first+seed)] = true
	}
	if os.Getenv("AMBERTILLER_SOAK_SEED") == "" {
		for seed := range regressionSeeds {
			seeds[seed] = true
		}
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			t.Parallel()
			soakSeed(t, binary, seed)
		})
	}
}

func soakSeed(t *testing.T, binary string, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	dir := logsDir(t, seed)
	made := newDeployment(ctx, t, dir, binary, reserveNetwork(t), intFromEnv(t, "AMBERTILLER_SOAK_AGENTS", defaultAgentCount), startTimeReporters(seed))
	log := openLog(t, dir)
	sleep(ctx, startupDelay)
	suffering, end := context.WithTimeout(ctx, faultDuration(t))
	defer end()
	caller := newClient(made)
	for part := range clientCount {
		go caller.run(suffering, rand.New(rand.NewPCG(seed, uint64(part))))
	}
	made.injectFaults(suffering, seed, log)
	sleep(ctx, callTimeout) // The last calls end.
	waitForJobs(ctx, made, caller)
	made.ledger.checkRefused()
	broken, runs := made.ledger.results()
	for _, breach := range broken {
		log("BROKEN %s", breach)
		t.Error(breach)
	}
	t.Logf("seed %d: %d jobs accepted, %d runs, %d promises broken", seed, len(made.ledger.acceptedJobs()), runs, len(broken))
}

// startTimeReporters tells which machines have workers that say when they started: by the seed two of three, and none in
// a seed that broke a promise before there were such workers.
func startTimeReporters(seed uint64) func(number int) bool {
	if faultListCount(seed) < 3 {
		return func(int) bool { return false }
	}
	return func(number int) bool { return (uint64(number)+seed)%3 != 0 }
}

// waitForJobs waits until what was accepted has ended.
func waitForJobs(ctx context.Context, made *deployment, caller *client) {
	deadline := time.Now().Add(maxSettleTime)
	for turn, id := range made.ledger.acceptedJobs() {
		state := caller.jobState(ctx, id, turn)
		for state != "completed" && state != "failed" && time.Now().Before(deadline) {
			sleep(ctx, 100*time.Millisecond)
			turn++
			state = caller.jobState(ctx, id, turn)
		}
		if state != "completed" && state != "failed" {
			made.ledger.recordLost(id, state)
		}
		made.ledger.checkEnded(id, state)
	}
}

// intFromEnv reads a count from a variable.
func intFromEnv(t *testing.T, variable string, otherwise int) int {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return otherwise
	}
	count, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", variable, err)
	}
	return count
}

// faultDuration returns how long faults come.
func faultDuration(t *testing.T) time.Duration {
	t.Helper()
	text := os.Getenv("AMBERTILLER_SOAK_FOR")
	if text == "" {
		return defaultFaultDuration
	}
	length, err := time.ParseDuration(text)
	if err != nil {
		t.Fatalf("AMBERTILLER_SOAK_FOR: %v", err)
	}
	return length
}

// logsDir is where the processes write their logs.
func logsDir(t *testing.T, seed uint64) string {
	t.Helper()
	kept := os.Getenv("AMBERTILLER_SOAK_LOGS")
	if kept == "" {
		return t.TempDir()
	}
	dir := filepath.Join(kept, fmt.Sprintf("seed_%d", seed))
	if err := os.MkdirAll(dir, 0o750); err != nil {
		t.Fatal(err)
	}
	return dir
}

// openLog returns a function that writes lines of the soak's own log.
func openLog(t *testing.T, dir string) func(format string, about ...any) {
	t.Helper()
	file, err := os.Create(filepath.Join(dir, "soak.log"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = file.Close() })
	// One write for each line: faults of both lists are logged at the same time.
	return func(format string, about ...any) {
		_, _ = fmt.Fprintln(file, strings.TrimSpace(fmt.Sprintf(format, about...)))
	}
}
