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
	loadMargin   = time.Second
	watchParts   = 5
)

// requestStats counts how requests ended.
type requestStats struct {
	mu           sync.Mutex
	sent         int
	complete     int
	notRun       int
	unknown      int
	failed       int
	latencies    []time.Duration
	firstProblem string
}

func (counted *requestStats) add(took time.Duration, status int, body []byte, want string, err error) {
	counted.mu.Lock()
	defer counted.mu.Unlock()
	counted.sent++
	counted.latencies = append(counted.latencies, took)
	switch {
	case err != nil:
		counted.failed++
		counted.recordProblem("broken: " + err.Error())
	case status == http.StatusOK && string(body) == want:
		counted.complete++
	case status == http.StatusOK:
		counted.failed++
		counted.recordProblem("wrong answer: " + string(body))
	case decodeProblem(body).Outcome == api.OutcomeNotRun:
		counted.notRun++
		counted.recordProblem(decodeProblem(body).Error())
	default:
		counted.unknown++
		counted.recordProblem(decodeProblem(body).Error())
	}
}

func (counted *requestStats) recordProblem(text string) {
	if counted.firstProblem == "" {
		counted.firstProblem = text
	}
}

func (counted *requestStats) quantile(part float64) time.Duration {
	slices.Sort(counted.latencies)
	return counted.latencies[int(part*float64(len(counted.latencies)-1))].Round(100 * time.Microsecond)
}

// sendLoad sends requests at a fixed rate, whatever becomes of the earlier ones,
// until ctx ends, and waits for all of them.
func (running *demo) sendLoad(ctx context.Context) *requestStats {
	counted := &requestStats{}
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
			status, _, body, err := running.client.send(context.WithoutCancel(ctx), http.MethodPost,
				running.client.nextBaseURL()+snippetsPath, nil, []byte(text))
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
	watching := newWatchReader(running.client, watch.ID)
	balanceCtx, stopBalance := context.WithCancel(ctx)
	defer stopBalance()
	go running.client.pollReadiness(balanceCtx)
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go watching.run(watchCtx)
	if err := watching.waitForPart(ctx, watchParts); err != nil {
		return "", err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	ended := make(chan *requestStats, 1)
	go func() { ended <- running.sendLoad(loadCtx) }()
	time.Sleep(loadMargin)
	stopErr := running.replaceGuardAndEntry(ctx)
	watched := watching.waitForPart(ctx, watching.last()+watchParts)
	time.Sleep(loadMargin)
	stopLoad()
	counted := <-ended
	if err := firstError(stopErr, watched, watching.err(), counted.err()); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d requests sent, %d whole answers, 0 cut, p50 %s, p99 %s; the watch streamed %d parts without a gap",
		counted.sent, counted.complete, counted.quantile(0.5), counted.quantile(0.99), watching.last()), nil
}

func (counted *requestStats) err() error {
	if counted.complete == counted.sent {
		return nil
	}
	return errors.Errorf("of %d requests %d had a whole answer, %d were not run, %d unknown, %d broken; the first: %s",
		counted.sent, counted.complete, counted.notRun, counted.unknown, counted.failed, counted.firstProblem)
}

func firstError(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}

// replaceGuardAndEntry stops a guard and an entry as planned and starts new ones.
func (running *demo) replaceGuardAndEntry(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
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

// watchReader follows a watch as a caller does: when its entry leaves, it goes on
// at the next one from the last part it has.
type watchReader struct {
	client *balancedClient
	task   string

	mu             sync.Mutex
	lastPart       uint64
	sequenceErrors []string
}

func newWatchReader(calling *balancedClient, task string) *watchReader {
	return &watchReader{client: calling, task: task}
}

func (following *watchReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := following.readStream(ctx); err != nil && ctx.Err() == nil {
			time.Sleep(balancerInterval)
		}
	}
}

func (following *watchReader) readStream(ctx context.Context) error {
	url := following.client.nextBaseURL() + "/v1/tasks/" + following.task + "/stream?after=" + strconv.FormatUint(following.last(), 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := following.client.httpClient.Do(request)
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
			following.addPart(id)
		}
	}
	return lines.Err()
}

func (following *watchReader) addPart(id uint64) {
	following.mu.Lock()
	defer following.mu.Unlock()
	if id != following.lastPart+1 {
		following.sequenceErrors = append(following.sequenceErrors, fmt.Sprintf("part %d came after %d", id, following.lastPart))
	}
	following.lastPart = id
}

func (following *watchReader) last() uint64 {
	following.mu.Lock()
	defer following.mu.Unlock()
	return following.lastPart
}

func (following *watchReader) err() error {
	following.mu.Lock()
	defer following.mu.Unlock()
	if len(following.sequenceErrors) == 0 {
		return nil
	}
	return errors.New("the watch's stream has faults: " + strings.Join(following.sequenceErrors, ", "))
}

// waitForPart waits until the part of a number has come.
func (following *watchReader) waitForPart(ctx context.Context, part uint64) error {
	return retry(ctx, func() error {
		if last := following.last(); last < part {
			return errors.Errorf("the watch has streamed %d parts and not %d", last, part)
		}
		return nil
	})
}
