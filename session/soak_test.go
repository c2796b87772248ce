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
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/state"
)

const (
	// soakDurationEnv names the variable that sets how long the soak runs. If it is not set, the test runs
	// defaultSeedCount seeds.
	soakDurationEnv = "AMBERTILLER_SOAK"
	// soakSeedEnv names the variable that sets the first seed, to repeat a schedule.
	soakSeedEnv      = "AMBERTILLER_SOAK_SEED"
	defaultSeedCount = 60
	stepsPerRun      = 120
	maxTasksPerRun   = 8
)

// soak runs one randomised schedule of work and faults.
type soak struct {
	*harness
	random      *rand.Rand
	taskIDs     []string
	faultCounts map[string]int
}

// TestSoak runs randomised schedules of work and faults. It checks that no task ever runs on two workers at
// the same time, and that every task finishes once the faults have ended. AMBERTILLER_SOAK=20m runs it for 20
// minutes.
func TestSoak(t *testing.T) {
	duration, err := time.ParseDuration(os.Getenv(soakDurationEnv))
	hasDuration := err == nil
	start, runs, observations := time.Now(), 0, 0
	faults := map[string]int{}
	first, _ := strconv.ParseUint(os.Getenv(soakSeedEnv), 10, 64)
	for seed := first; (hasDuration && time.Since(start) < duration) || (!hasDuration && seed < first+defaultSeedCount); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { observations += runSoak(t, seed, faults) })
		})
		runs++
		if t.Failed() {
			break
		}
	}
	t.Logf("%d runs, %d starts and ends of attempts checked, faults: %v", runs, observations, faults)
}

// runSoak runs the schedule of a seed in a synctest bubble and returns the number of observations checked.
// The timeout of an append passes only while no goroutine can proceed, however busy the machine is.
func runSoak(t *testing.T, seed uint64, faults map[string]int) int {
	s := &soak{harness: newHarness(t), random: rand.New(rand.NewPCG(seed, 11)), faultCounts: faults}
	s.inBubble = true
	s.startAll()
	s.advanceDuringReads = true
	for range maxTasksPerRun / 2 {
		s.submitTask()
	}
	for range stepsPerRun {
		s.step()
	}
	s.endFaults()
	s.checkResults()
	s.killAll()
	return len(s.observations.all())
}

var workerNames = []string{"worker-01", "worker-02"}
var entryNames = []string{"entry-1", "entry-2"}

func (s *soak) pick(names []string) string { return names[s.random.IntN(len(names))] }

// step performs one random action: work or a fault.
func (s *soak) step() {
	switch s.random.IntN(16) {
	case 0:
		s.submitTask()
	case 1, 2, 3:
		s.runIfLogUp(s.placePending, s.pick(entryNames))
	case 4, 5, 6, 7:
		s.report(s.pick(workerNames))
	case 8:
		s.advance(time.Duration(1+s.random.IntN(20)) * time.Second)
	case 9:
		s.advance(time.Duration(1+s.random.IntN(3)) * time.Minute)
		s.runMaintenance()
	case 10:
		s.injectFault("guard restarted", func() { s.restartGuard(s.pick(workerNames)) })
	case 11:
		s.injectFault("entry restarted", func() { s.restartEntry(s.pick(entryNames)) })
	case 12:
		s.injectFault("guard partitioned or reconnected", func() { s.togglePartition(s.pick(workerNames)) })
	case 13:
		s.injectFault("log outage started or ended", s.toggleLog)
	case 14:
		s.injectFault("drain started or ended", func() { s.toggleDrain(s.pick(workerNames)) })
	case 15:
		s.injectFault("append responses lost", func() { s.log.LoseResponses(1 + s.random.IntN(2)) })
	}
}

// runIfLogUp skips work that appends to the log while the log is down. The fake clock does not advance during
// an append, so the append would block until its caller times out.
func (s *soak) runIfLogUp(work func(names ...string), name string) {
	if !s.log.IsDown() {
		work(name)
	}
}

// injectFault injects a fault and counts it by name.
func (s *soak) injectFault(name string, inject func()) {
	s.faultCounts[name]++
	inject()
}

// submitTask submits a task, unless the log or entry-1 is down or maxTasksPerRun tasks have been submitted.
func (s *soak) submitTask() {
	if len(s.taskIDs) == maxTasksPerRun || s.log.IsDown() || s.entries["entry-1"] == nil {
		return
	}
	body := `{"team":"councils","kind":"transcription","processors":4,"run_time":"5m","input":"seduta"}`
	response := s.doRequest("entry-1", http.MethodPost, "/v1/tasks", body, api.HeaderIdempotencyKey, fmt.Sprint("t-", len(s.taskIDs)))
	if response.Code == http.StatusCreated {
		s.taskIDs = append(s.taskIDs, parseTaskID(s.t, response.Body.Bytes()))
	}
}

// toggleLog starts or ends an outage of the log. When it starts one, it advances the clock past the time
// after which entries consider the log down, so that they don't wait for it.
func (s *soak) toggleLog() {
	down := !s.log.IsDown()
	s.log.SetDown(down)
	if down {
		s.advance(5 * time.Second)
	}
}

func (s *soak) restartGuard(name string) {
	s.kill(name)
	s.startGuard(name, "milano-a")
	s.network.setDisconnected(name+":rpc", s.blockedReports[name])
}

func (s *soak) restartEntry(name string) {
	if s.log.IsDown() {
		return
	}
	s.kill(name)
	s.startEntry(name, "milano-a")
	s.syncPeers()
}

// togglePartition partitions a guard from all entries in both directions, or reconnects it.
func (s *soak) togglePartition(name string) {
	s.blockedReports[name] = !s.blockedReports[name]
	s.network.setDisconnected(name+":rpc", s.blockedReports[name])
}

func (s *soak) toggleDrain(name string) {
	if s.log.IsDown() || s.entries["entry-1"] == nil {
		return
	}
	s.doRequest("entry-1", http.MethodPut, "/v1/workers/"+name+"/drain", fmt.Sprintf(`{"draining":%t}`, !s.isDraining(name)))
}

func (s *soak) isDraining(name string) (draining bool) {
	s.entries["entry-1"].journal.View(func(st *state.State) { draining = st.IsDraining(name) })
	return draining
}

// endFaults ends all faults and drains, and then advances the clock by 40 minutes so that the tasks can
// finish.
func (s *soak) endFaults() {
	s.log.SetDown(false)
	s.log.LoseResponses(0)
	for _, name := range workerNames {
		s.blockedReports[name] = false
		s.network.setDisconnected(name+":rpc", false)
	}
	s.catchUp()
	for _, name := range workerNames {
		if !s.isDraining(name) {
			continue
		}
		s.endDrain(name)
	}
	for range 40 {
		s.advance(time.Minute)
		s.report(workerNames...)
		s.runMaintenance()
		s.placePending(entryNames...)
		s.report(workerNames...)
	}
}

// maxEndDrainTries bounds how often the test requests the end of a drain.
const maxEndDrainTries = 5

// endDrain ends the drain of a worker. It retries if the entry refuses because it has not read the log to its
// end, as the response asks for: on a busy machine the fake clock can run ahead of the goroutine that reads
// the log.
func (s *soak) endDrain(name string) {
	s.t.Helper()
	for try := 1; ; try++ {
		var response *httptest.ResponseRecorder
		// The clock must advance, because the entry may still be waiting to retry an earlier append.
		s.runWhileAdvancing(func() {
			response = s.doRequest("entry-1", http.MethodPut, "/v1/workers/"+name+"/drain", `{"draining":false}`)
		})
		if response.Code == http.StatusOK {
			return
		}
		if response.Code != http.StatusServiceUnavailable || !strings.Contains(response.Body.String(), `"not run"`) || try == maxEndDrainTries {
			s.t.Errorf("the drain of %s can't be ended, try %d: %s", name, try, response.Body)
			return
		}
		s.catchUp()
	}
}

// checkResults checks the ownership of the tasks, that all of them finished, and that the entries agree.
func (s *soak) checkResults() {
	s.t.Helper()
	if result := s.checkOwnership(); result != porcupine.Ok {
		s.t.Fatalf("%s: %+v", result, s.observations.all())
	}
	for _, id := range s.taskIDs {
		if task := s.task("entry-1", id); task.Phase != "finished" {
			s.t.Errorf("task %s is %s on %q: %s; %s", id, task.Phase, task.Worker, task.Reason, s.doRequest("entry-1", http.MethodGet, "/v1/tasks/"+id+"/explain", "").Body)
		}
	}
	s.checkStatesEqual()
}

// checkStatesEqual checks that both entries have the same state.
func (s *soak) checkStatesEqual() {
	s.catchUp()
	var snapshots []string
	for _, name := range slices.Sorted(maps.Keys(s.entries)) {
		s.entries[name].journal.View(func(st *state.State) {
			data, err := st.Snapshot()
			if err != nil {
				s.t.Fatal(err)
			}
			snapshots = append(snapshots, string(data))
		})
	}
	if len(snapshots) != 2 || snapshots[0] != snapshots[1] {
		s.t.Error("the entries have different states")
	}
}

// killAll stops all entries and guards.
func (s *soak) killAll() {
	for _, instance := range slices.Clone(s.instances) {
		s.kill(instance.Name)
	}
}
