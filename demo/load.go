package demo

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/api"
)

const (
	loadInterval = 4 * time.Millisecond
	loadSettle   = time.Second
	watchSteps   = 5
)

// tally counts how requests ended.
type tally struct {
	mu        sync.Mutex
	sent      int
	whole     int
	notRun    int
	unknown   int
	broken    int
	latencies []time.Duration
	first     string
}

func (counted *tally) add(took time.Duration, status int, body []byte, want string, err error) {
	counted.mu.Lock()
	defer counted.mu.Unlock()
	counted.sent++
	counted.latencies = append(counted.latencies, took)
	switch {
	case err != nil:
		counted.broken++
		counted.note("broken: " + err.Error())
	case status == http.StatusOK && string(body) == want:
		counted.whole++
	case status == http.StatusOK:
		counted.broken++
		counted.note("wrong answer: " + string(body))
	case decodeProblem(body).Outcome == api.OutcomeNotRun:
		counted.notRun++
		counted.note(decodeProblem(body).Error())
	default:
		counted.unknown++
		counted.note(decodeProblem(body).Error())
	}
}

func (counted *tally) note(text string) {
	if counted.first == "" {
		counted.first = text
	}
}

func (counted *tally) quantile(part float64) time.Duration {
	slices.Sort(counted.latencies)
	return counted.latencies[int(part*float64(len(counted.latencies)-1))].Round(100 * time.Microsecond)
}

// load sends requests at a fixed rate, whatever becomes of the earlier ones,
// until ctx ends, and waits for all of them.
func (running *demo) load(ctx context.Context) *tally {
	counted := &tally{}
	var calls sync.WaitGroup
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			calls.Wait()
			return counted
		case <-ticker.C:
		}
		calls.Go(func() {
			text := "snippet " + strconv.Itoa(number)
			began := time.Now()
			status, _, body, err := running.callers.send(context.WithoutCancel(ctx), http.MethodPost,
				running.callers.base()+snippetsPath, nil, []byte(text))
			counted.add(time.Since(began), status, body, "corrected: "+text+"\n", err)
		})
	}
}

// stopUnderLoad opens a watch, puts load on, and stops one guard and one entry
// as planned. Every request must get its whole answer, and the watch must go
// on without a gap or a repetition.
func (running *demo) stopUnderLoad(ctx context.Context) (string, error) {
	watch, err := running.submit(ctx, api.TaskRequest{Team: team, Kind: "listener", Processors: 1, Input: "hearing 7"})
	if err != nil {
		return "", err
	}
	if err := running.waitPhase(ctx, watch, "running"); err != nil {
		return "", err
	}
	watching := newWatching(running.callers, watch.ID)
	balanceCtx, stopBalance := context.WithCancel(ctx)
	defer stopBalance()
	go running.callers.balance(balanceCtx)
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go watching.run(watchCtx)
	if err := watching.reach(ctx, watchSteps); err != nil {
		return "", err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	ended := make(chan *tally, 1)
	go func() { ended <- running.load(loadCtx) }()
	time.Sleep(loadSettle)
	stopErr := running.replaceOneOfEach(ctx)
	watched := watching.reach(ctx, watching.last()+watchSteps)
	time.Sleep(loadSettle)
	stopLoad()
	counted := <-ended
	if err := firstError(stopErr, watched, watching.fault(), counted.fault()); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d requests sent, %d whole answers, 0 cut, p50 %s, p99 %s; the watch streamed %d parts without a gap",
		counted.sent, counted.whole, counted.quantile(0.5), counted.quantile(0.99), watching.last()), nil
}

func (counted *tally) fault() error {
	if counted.whole == counted.sent {
		return nil
	}
	return errors.Errorf("of %d requests %d had a whole answer, %d were not run, %d unknown, %d broken; the first: %s",
		counted.sent, counted.whole, counted.notRun, counted.unknown, counted.broken, counted.first)
}

func firstError(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}

// replaceOneOfEach stops a guard and an entry as planned and starts new ones.
func (running *demo) replaceOneOfEach(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopBound)
	defer cancel()
	if err := running.guards[0].Stop(ctx); err != nil {
		return errors.Wrap(err, "stop a guard")
	}
	if err := running.startGuard(ctx, 1); err != nil {
		return err
	}
	if err := running.entries[0].Stop(ctx); err != nil {
		return errors.Wrap(err, "stop an entry")
	}
	return running.startEntry(ctx, 1)
}

// watching follows a watch as a caller does: when its entry leaves, it goes on
// at the next one from the last part it has.
type watching struct {
	callers *callers
	task    string

	mu     sync.Mutex
	seen   uint64
	faults []string
}

func newWatching(calling *callers, task string) *watching {
	return &watching{callers: calling, task: task}
}

func (following *watching) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := following.once(ctx); err != nil && ctx.Err() == nil {
			time.Sleep(balancerInterval)
		}
	}
}

func (following *watching) once(ctx context.Context) error {
	url := following.callers.base() + "/v1/tasks/" + following.task + "/stream?after=" + strconv.FormatUint(following.last(), 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := following.callers.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", response.StatusCode)
	}
	lines := bufio.NewScanner(response.Body)
	var id uint64
	for lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), "id: "); found {
			if id, err = strconv.ParseUint(text, 10, 64); err != nil {
				return err
			}
		}
		if lines.Text() == "event: output" {
			following.note(id)
		}
	}
	return lines.Err()
}

func (following *watching) note(id uint64) {
	following.mu.Lock()
	defer following.mu.Unlock()
	if id != following.seen+1 {
		following.faults = append(following.faults, fmt.Sprintf("part %d came after %d", id, following.seen))
	}
	following.seen = id
}

func (following *watching) last() uint64 {
	following.mu.Lock()
	defer following.mu.Unlock()
	return following.seen
}

func (following *watching) fault() error {
	following.mu.Lock()
	defer following.mu.Unlock()
	if len(following.faults) == 0 {
		return nil
	}
	return errors.New("the watch's stream has faults: " + strings.Join(following.faults, ", "))
}

// reach waits until the part of a number has come.
func (following *watching) reach(ctx context.Context, part uint64) error {
	return until(ctx, func() error {
		if last := following.last(); last < part {
			return errors.Errorf("the watch has streamed %d parts and not %d", last, part)
		}
		return nil
	})
}
