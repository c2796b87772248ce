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
	// soakVariable is how long the soak runs; without it a few seeds do.
	soakVariable = "AMBERTILLER_SOAK"
	// soakSeedVariable is the seed to begin with, to repeat a schedule.
	soakSeedVariable = "AMBERTILLER_SOAK_SEED"
	soakSeeds        = 6
	soakSteps        = 120
	soakTasks        = 8
)

// soak is one randomised schedule.
type soak struct {
	*bench
	draws  *rand.Rand
	tasks  []string
	faults map[string]int
}

// TestSoak runs randomised schedules of work and faults and checks that no
// task ever ran in two places, and that once the faults are over every task
// that was not cancelled ends with a result. AMBERTILLER_SOAK=20m runs longer.
func TestSoak(t *testing.T) {
	span, err := time.ParseDuration(os.Getenv(soakVariable))
	long := err == nil
	began, runs, observations := time.Now(), 0, 0
	faults := map[string]int{}
	first, _ := strconv.ParseUint(os.Getenv(soakSeedVariable), 10, 64)
	for seed := first; (long && time.Since(began) < span) || (!long && seed < first+soakSeeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			made := &soak{bench: newBench(t), draws: rand.New(rand.NewPCG(seed, 11)), faults: faults}
			made.fill()
			made.restless = true
			for range soakTasks / 2 {
				made.submitOne()
			}
			for range soakSteps {
				made.step()
			}
			made.heal()
			made.check()
			observations += len(made.owned.all())
			made.stopAll()
		})
		runs++
		if t.Failed() {
			break
		}
	}
	t.Logf("%d runs, %d begins and ends of attempts checked, faults: %v", runs, observations, faults)
}

var bothWorkers = []string{"worker-01", "worker-02"}
var bothEntries = []string{"entry-1", "entry-2"}

func (made *soak) pick(names []string) string { return names[made.draws.IntN(len(names))] }

// step does one thing, by chance work or a fault.
func (made *soak) step() {
	switch made.draws.IntN(16) {
	case 0:
		made.submitOne()
	case 1, 2, 3:
		made.live(made.place, made.pick(bothEntries))
	case 4, 5, 6, 7:
		made.report(made.pick(bothWorkers))
	case 8:
		made.pass(time.Duration(1+made.draws.IntN(20)) * time.Second)
	case 9:
		made.pass(time.Duration(1+made.draws.IntN(3)) * time.Minute)
		made.clean()
	case 10:
		made.fault("guard restarted", func() { made.restartGuard(made.pick(bothWorkers)) })
	case 11:
		made.fault("entry restarted", func() { made.restartEntry(made.pick(bothEntries)) })
	case 12:
		made.fault("guard cut off or joined", func() { made.toggleCut(made.pick(bothWorkers)) })
	case 13:
		made.fault("log down or up", made.toggleLog)
	case 14:
		made.fault("drain begun or ended", func() { made.toggleDrain(made.pick(bothWorkers)) })
	case 15:
		made.fault("answers lost", func() { made.log.LoseResponses(1 + made.draws.IntN(2)) })
	}
}

// live does work that needs the log only while it is up: with the clock
// standing still an append would wait for as long as a caller's patience.
func (made *soak) live(work func(names ...string), name string) {
	if !made.log.IsDown() {
		work(name)
	}
}

func (made *soak) fault(name string, bring func()) {
	made.faults[name]++
	bring()
}

func (made *soak) submitOne() {
	if len(made.tasks) == soakTasks || made.log.IsDown() || made.entries["entry-1"] == nil {
		return
	}
	body := `{"team":"councils","kind":"transcription","processors":4,"run_time":"5m","input":"seduta"}`
	answer := made.doQuiet("entry-1", http.MethodPost, "/v1/tasks", body, api.HeaderIdempotencyKey, fmt.Sprint("t-", len(made.tasks)))
	if answer.Code == http.StatusCreated {
		made.tasks = append(made.tasks, idOf(made.t, answer.Body.Bytes()))
	}
}

// toggleLog begins or ends an outage. It passes the time after which entries
// count the log as down, so that they don't wait for it.
func (made *soak) toggleLog() {
	down := !made.log.IsDown()
	made.log.SetDown(down)
	if down {
		made.pass(5 * time.Second)
	}
}

func (made *soak) restartGuard(name string) {
	made.kill(name)
	made.startGuard(name, "milano-a")
	made.links.setCut(name+":rpc", made.unreachable[name])
}

func (made *soak) restartEntry(name string) {
	if made.log.IsDown() {
		return
	}
	made.kill(name)
	made.startEntry(name, "milano-a")
	made.hearPeers()
}

// toggleCut cuts a guard off from every entry, both ways, or joins it again.
func (made *soak) toggleCut(name string) {
	made.unreachable[name] = !made.unreachable[name]
	made.links.setCut(name+":rpc", made.unreachable[name])
}

func (made *soak) toggleDrain(name string) {
	if made.log.IsDown() || made.entries["entry-1"] == nil {
		return
	}
	made.doQuiet("entry-1", http.MethodPut, "/v1/workers/"+name+"/drain", fmt.Sprintf(`{"draining":%t}`, !made.draining(name)))
}

func (made *soak) draining(name string) (draining bool) {
	made.entries["entry-1"].journal.View(func(folded *state.State) { draining = folded.IsDraining(name) })
	return draining
}

// heal ends every fault and lets the work come to its end.
func (made *soak) heal() {
	made.log.SetDown(false)
	made.log.LoseResponses(0)
	for _, name := range bothWorkers {
		made.unreachable[name] = false
		made.links.setCut(name+":rpc", false)
	}
	made.catchUp()
	for _, name := range bothWorkers {
		if !made.draining(name) {
			continue
		}
		made.endDrain(name)
	}
	for range 40 {
		made.pass(time.Minute)
		made.report(bothWorkers...)
		made.clean()
		made.place(bothEntries...)
		made.report(bothWorkers...)
	}
}

// endDrainMost is how often the end of a drain is asked for at most.
const endDrainMost = 5

// endDrain has a worker no longer drain. An entry that refuses because it has not read
// the log to its end is asked again, as it says: the clock of the test may run ahead of
// the goroutine that reads, where the machine is busy with other things.
func (made *soak) endDrain(name string) {
	made.t.Helper()
	for try := 1; ; try++ {
		var answer *httptest.ResponseRecorder
		// The entry may still wait, on the clock, to send an earlier append again.
		made.whileTimePasses(func() {
			answer = made.doQuiet("entry-1", http.MethodPut, "/v1/workers/"+name+"/drain", `{"draining":false}`)
		})
		if answer.Code == http.StatusOK {
			return
		}
		if answer.Code != http.StatusServiceUnavailable || !strings.Contains(answer.Body.String(), `"not run"`) || try == endDrainMost {
			made.t.Errorf("the drain of %s can't be ended, try %d: %s", name, try, answer.Body)
			return
		}
		made.catchUp()
	}
}

func (made *soak) check() {
	made.t.Helper()
	if result := made.checkOwnership(); result != porcupine.Ok {
		made.t.Fatalf("%s: %+v", result, made.owned.all())
	}
	for _, id := range made.tasks {
		if task := made.task("entry-1", id); task.Phase != "finished" {
			made.t.Errorf("task %s is %s on %q: %s; %s", id, task.Phase, task.Worker, task.Reason, made.doQuiet("entry-1", http.MethodGet, "/v1/tasks/"+id+"/explain", "").Body)
		}
	}
	made.checkAgreement()
}

// checkAgreement: both entries hold the same state.
func (made *soak) checkAgreement() {
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

func (made *soak) stopAll() {
	for _, each := range slices.Clone(made.list) {
		made.kill(each.Name)
	}
}
