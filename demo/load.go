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

// requestStats counts requests by their result.
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

func (stats *requestStats) add(latency time.Duration, status int, body []byte, want string, err error) {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	stats.sent++
	stats.latencies = append(stats.latencies, latency)
	switch {
	case err != nil:
		stats.failed++
		stats.recordProblem("request failed: " + err.Error())
	case status == http.StatusOK && string(body) == want:
		stats.complete++
	case status == http.StatusOK:
		stats.failed++
		stats.recordProblem("wrong response: " + string(body))
	case decodeProblem(body).Outcome == api.OutcomeNotRun:
		stats.notRun++
		stats.recordProblem(decodeProblem(body).Error())
	default:
		stats.unknown++
		stats.recordProblem(decodeProblem(body).Error())
	}
}

func (stats *requestStats) recordProblem(text string) {
	if stats.firstProblem == "" {
		stats.firstProblem = text
	}
}

func (stats *requestStats) quantile(q float64) time.Duration {
	slices.Sort(stats.latencies)
	return stats.latencies[int(q*float64(len(stats.latencies)-1))].Round(100 * time.Microsecond)
}

// sendLoad sends requests at a constant rate until ctx ends, without waiting for earlier responses. It returns
// when all requests have ended.
func (d *demo) sendLoad(ctx context.Context) *requestStats {
	stats := &requestStats{}
	var requests sync.WaitGroup
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			requests.Wait()
			return stats
		case <-ticker.C:
		}
		requests.Go(func() {
			text := "snippet " + strconv.Itoa(number)
			start := time.Now()
			status, _, body, err := d.client.send(context.WithoutCancel(ctx), http.MethodPost,
				d.client.nextBaseURL()+snippetsPath, nil, []byte(text))
			stats.add(time.Since(start), status, body, "corrected: "+text+"\n", err)
		})
	}
}

// stopUnderLoad opens a watch, sends requests at a constant rate, and meanwhile stops one guard and one entry
// as planned. Every request must get a complete response, and the stream of the watch must continue without
// gaps or repeated parts.
func (d *demo) stopUnderLoad(ctx context.Context) (string, error) {
	watch, err := d.submit(ctx, api.TaskRequest{Team: team, Kind: "listener", Processors: 1, Input: "hearing 7"})
	if err != nil {
		return "", err
	}
	if err := d.waitPhase(ctx, watch, "running"); err != nil {
		return "", err
	}
	reader := newWatchReader(d.client, watch.ID)
	pollCtx, stopPolling := context.WithCancel(ctx)
	defer stopPolling()
	go d.client.pollReadiness(pollCtx)
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go reader.run(watchCtx)
	if err := reader.waitForPart(ctx, watchParts); err != nil {
		return "", err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	loadDone := make(chan *requestStats, 1)
	go func() { loadDone <- d.sendLoad(loadCtx) }()
	time.Sleep(loadMargin)
	stopErr := d.replaceGuardAndEntry(ctx)
	watchErr := reader.waitForPart(ctx, reader.last()+watchParts)
	time.Sleep(loadMargin)
	stopLoad()
	stats := <-loadDone
	if err := firstError(stopErr, watchErr, reader.err(), stats.err()); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d requests sent, %d complete responses, 0 interrupted, p50 %s, p99 %s; the watch streamed %d parts without a gap",
		stats.sent, stats.complete, stats.quantile(0.5), stats.quantile(0.99), reader.last()), nil
}

// err returns an error unless every request got a complete response.
func (stats *requestStats) err() error {
	if stats.complete == stats.sent {
		return nil
	}
	return errors.Errorf("of %d requests, %d got a complete response, %d were not run, %d have an unknown outcome, %d failed; the first problem: %s",
		stats.sent, stats.complete, stats.notRun, stats.unknown, stats.failed, stats.firstProblem)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// replaceGuardAndEntry stops one guard and one entry as planned and starts new ones in their place.
func (d *demo) replaceGuardAndEntry(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := d.guards[0].Stop(ctx); err != nil {
		return errors.Wrap(err, "stop a guard")
	}
	if err := d.startGuard(ctx, 1); err != nil {
		return err
	}
	if err := d.entries[0].Stop(ctx); err != nil {
		return errors.Wrap(err, "stop an entry")
	}
	return d.startEntry(ctx, 1)
}

// watchReader reads the stream of a watch as a caller does: when the entry that serves the stream leaves, it
// resumes at another entry after the last part that it has received.
type watchReader struct {
	client *balancedClient
	task   string

	mu             sync.Mutex
	lastPart       uint64
	sequenceErrors []string
}

func newWatchReader(client *balancedClient, task string) *watchReader {
	return &watchReader{client: client, task: task}
}

func (reader *watchReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := reader.readStream(ctx); err != nil && ctx.Err() == nil {
			time.Sleep(balancerInterval)
		}
	}
}

// readStream reads parts from one entry until the stream ends.
func (reader *watchReader) readStream(ctx context.Context) error {
	url := reader.client.nextBaseURL() + "/v1/tasks/" + reader.task + "/stream?after=" + strconv.FormatUint(reader.last(), 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := reader.client.httpClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", response.StatusCode)
	}
	scanner := bufio.NewScanner(response.Body)
	var id uint64
	for scanner.Scan() {
		if text, found := strings.CutPrefix(scanner.Text(), "id: "); found {
			if id, err = strconv.ParseUint(text, 10, 64); err != nil {
				return err
			}
		}
		if scanner.Text() == "event: output" {
			reader.addPart(id)
		}
	}
	return scanner.Err()
}

func (reader *watchReader) addPart(id uint64) {
	reader.mu.Lock()
	defer reader.mu.Unlock()
	if id != reader.lastPart+1 {
		reader.sequenceErrors = append(reader.sequenceErrors, fmt.Sprintf("part %d followed part %d", id, reader.lastPart))
	}
	reader.lastPart = id
}

func (reader *watchReader) last() uint64 {
	reader.mu.Lock()
	defer reader.mu.Unlock()
	return reader.lastPart
}

// err returns an error if parts were missing or repeated.
func (reader *watchReader) err() error {
	reader.mu.Lock()
	defer reader.mu.Unlock()
	if len(reader.sequenceErrors) == 0 {
		return nil
	}
	return errors.New("the stream of the watch is not consecutive: " + strings.Join(reader.sequenceErrors, ", "))
}

// waitForPart waits until the reader has received the part with the given number.
func (reader *watchReader) waitForPart(ctx context.Context, part uint64) error {
	return retry(ctx, func() error {
		if last := reader.last(); last < part {
			return errors.Errorf("the watch has streamed %d parts, want %d", last, part)
		}
		return nil
	})
}
