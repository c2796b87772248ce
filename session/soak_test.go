package session_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/state"
)

const (
	// soakDurationEnv is how long the soak runs; without it a few seeds do.
	soakDurationEnv = "AMBERTILLER_SOAK"
	// soakSeedEnv is the seed to begin with, to repeat a schedule.
	soakSeedEnv      = "AMBERTILLER_SOAK_SEED"
	defaultSeedCount = 6
	stepsPerRun      = 120
	maxTasksPerRun   = 8
)

// soak is one randomised schedule.
type soak struct {
	*harness
	random      *rand.Rand
	taskIDs     []string
	faultCounts map[string]int
}

// TestSoak runs randomised schedules of work and faults and checks that no
// task ever ran in two places, and that once the faults are over every task
// that was not cancelled ends with a result. AMBERTILLER_SOAK=20m runs longer.
func TestSoak(t *testing.T) {
	span, err := time.ParseDuration(os.Getenv(soakDurationEnv))
	long := err == nil
	began, runs, observations := time.Now(), 0, 0
	faults := map[string]int{}
	first, _ := strconv.ParseUint(os.Getenv(soakSeedEnv), 10, 64)
	for seed := first; (long && time.Since(began) < span) || (!long && seed < first+defaultSeedCount); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			made := &soak{harness: newHarness(t), random: rand.New(rand.NewPCG(seed, 11)), faultCounts: faults}
			made.startAll()
			made.advanceDuringReads = true
			for range maxTasksPerRun / 2 {
				made.submitTask()
			}
			for range stepsPerRun {
				made.step()
			}
			made.endFaults()
			made.checkResults()
			observations += len(made.observations.all())
			made.killAll()
		})
		runs++
		if t.Failed() {
			break
		}
	}
	t.Logf("%d runs, %d begins and ends of attempts checked, faults: %v", runs, observations, faults)
}

var workerNames = []string{"worker-01", "worker-02"}
var entryNames = []string{"entry-1", "entry-2"}

func (made *soak) pick(names []string) string { return names[made.random.IntN(len(names))] }

// step does one thing, by chance work or a fault.
func (made *soak) step() {
	switch made.random.IntN(16) {
	case 0:
		made.submitTask()
	case 1, 2, 3:
		made.runIfLogUp(made.placePending, made.pick(entryNames))
	case 4, 5, 6, 7:
		made.report(made.pick(workerNames))
	case 8:
		made.advance(time.Duration(1+made.random.IntN(20)) * time.Second)
	case 9:
		made.advance(time.Duration(1+made.random.IntN(3)) * time.Minute)
		made.runMaintenance()
	case 10:
		made.injectFault("guard restarted", func() { made.restartGuard(made.pick(workerNames)) })
	case 11:
		made.injectFault("entry restarted", func() { made.restartEntry(made.pick(entryNames)) })
	case 12:
		made.injectFault("guard cut off or joined", func() { made.togglePartition(made.pick(workerNames)) })
	case 13:
		made.injectFault("log down or up", made.toggleLog)
	case 14:
		made.injectFault("drain begun or ended", func() { made.toggleDrain(made.pick(workerNames)) })
	case 15:
		made.injectFault("answers lost", func() { made.log.LoseResponses(1 + made.random.IntN(2)) })
	}
}

// runIfLogUp does work that needs the log only while it is up: with the clock
// standing still an append would wait for as long as a caller's patience.
func (made *soak) runIfLogUp(work func(names ...string), name string) {
	if !made.log.IsDown() {
		work(name)
	}
}

func (made *soak) injectFault(name string, bring func()) {
	made.faultCounts[name]++
	bring()
}

func (made *soak) submitTask() {
	if len(made.taskIDs) == maxTasksPerRun || made.log.IsDown() || made.entries["entry-1"] == nil {
		return
	}
	body := `{"team":"councils","kind":"transcription","processors":4,"run_time":"5m","input":"seduta"}`
	answer := made.doRequest("entry-1", http.MethodPost, "/v1/tasks", body, api.HeaderIdempotencyKey, fmt.Sprint("t-", len(made.taskIDs)))
	if answer.Code == http.StatusCreated {
		made.taskIDs = append(made.taskIDs, parseTaskID(made.t, answer.Body.Bytes()))
	}
}

// toggleLog begins or ends an outage. It passes the time after which entries
// count the log as down, so that they don't wait for it.
func (made *soak) toggleLog() {
	down := !made.log.IsDown()
	made.log.SetDown(down)
	if down {
		made.advance(5 * time.Second)
	}
}

func (made *soak) restartGuard(name string) {
	made.kill(name)
	made.startGuard(name, "milano-a")
	made.network.setDisconnected(name+":rpc", made.blockedReports[name])
}

func (made *soak) restartEntry(name string) {
	if made.log.IsDown() {
		return
	}
	made.kill(name)
	made.startEntry(name, "milano-a")
	made.syncPeers()
}

// togglePartition cuts a guard off from every entry, both ways, or joins it again.
func (made *soak) togglePartition(name string) {
	made.blockedReports[name] = !made.blockedReports[name]
	made.network.setDisconnected(name+":rpc", made.blockedReports[name])
}

func (made *soak) toggleDrain(name string) {
	if made.log.IsDown() || made.entries["entry-1"] == nil {
		return
	}
	made.doRequest("entry-1", http.MethodPut, "/v1/workers/"+name+"/drain", fmt.Sprintf(`{"draining":%t}`, !made.isDraining(name)))
}

func (made *soak) isDraining(name string) (draining bool) {
	made.entries["entry-1"].journal.View(func(folded *state.State) { draining = folded.IsDraining(name) })
	return draining
}

// endFaults ends every fault and lets the work come to its end.
func (made *soak) endFaults() {
	made.log.SetDown(false)
	made.log.LoseResponses(0)
	for _, name := range workerNames {
		made.blockedReports[name] = false
		made.network.setDisconnected(name+":rpc", false)
	}
	made.catchUp()
	for _, name := range workerNames {
		if !made.isDraining(name) {
			continue
		}
		made.endDrain(name)
	}
	for range 40 {
		made.advance(time.Minute)
		made.report(workerNames...)
		made.runMaintenance()
		made.placePending(entryNames...)
		made.report(workerNames...)
	}
}

// maxEndDrainTries is how often the end of a drain is asked for at most.
const maxEndDrainTries = 5

// endDrain has a worker no longer drain. An entry that refuses because it has not read
// the log to its end is asked again, as it says: the clock of the test may run ahead of
// the goroutine that reads, where the machine is busy with other things.
func (made *soak) endDrain(name string) {
	made.t.Helper()
	for try := 1; ; try++ {
		var answer *httptest.ResponseRecorder
		// The entry may still wait, on the clock, to send an earlier append again.
		made.runWhileAdvancing(func() {
			answer = made.doRequest("entry-1", http.MethodPut, "/v1/workers/"+name+"/drain", `{"draining":false}`)
		})
		if answer.Code == http.StatusOK {
			return
		}
		if answer.Code != http.StatusServiceUnavailable || !strings.Contains(answer.Body.String(), `"not run"`) || try == maxEndDrainTries {
			made.t.Errorf("the drain of %s can't be ended, try %d: %s", name, try, answer.Body)
			return
		}
		made.catchUp()
	}
}

func (made *soak) checkResults() {
	made.t.Helper()
	if result := made.checkOwnership(); result != porcupine.Ok {
		made.t.Fatalf("%s: %+v", result, made.observations.all())
	}
	for _, id := range made.taskIDs {
		if task := made.task("entry-1", id); task.Phase != "finished" {
			made.t.Errorf("task %s is %s on %q: %s; %s", id, task.Phase, task.Worker, task.Reason, made.doRequest("entry-1", http.MethodGet, "/v1/tasks/"+id+"/explain", "").Body)
		}
	}
	made.checkStatesEqual()
}

// checkAgreement: both entries hold the same state.
func (made *soak) checkStatesEqual() {
	made.catchUp()
	var snapshots []string
	for _, name := range slices.Sorted(maps.Keys(made.entries)) {
		made.entries[name].journal.View(func(folded *state.State) {
			data, err := folded.Snapshot()
			if err != nil {
				made.t.Fatal(err)
			}
			snapshots = append(snapshots, string(data))
		})
	}
	if len(snapshots) != 2 || snapshots[0] != snapshots[1] {
		made.t.Error("the entries' states differ")
	}
}

func (made *soak) killAll() {
	for _, each := range slices.Clone(made.instances) {
		made.kill(each.Name)
	}
}
