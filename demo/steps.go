package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/config"
	"ambertiller.example/ambertiller/examples"
	"ambertiller.example/ambertiller/policy"
	"ambertiller.example/ambertiller/standin"
)

const (
	author       = "demo"
	team         = "councils"
	snippetsPath = "/v1/services/" + service + "/snippets"
)

// publishConfig publishes Verbalia's configuration and waits until all entries and guards use it.
func (d *demo) publishConfig(ctx context.Context) (string, error) {
	content, err := examples.Files.ReadFile("verbalia/config.yaml")
	if err != nil {
		return "", errors.Wrap(err, "read example")
	}
	request := api.PublishRequest{Author: author, Content: string(content)}
	var published api.Document
	if err := retry(ctx, func() error {
		return d.client.callJSON(ctx, http.MethodPut, "/v1/documents/"+config.DocumentName, request, &published)
	}); err != nil {
		return "", err
	}
	start := time.Now()
	err = retry(ctx, func() error { return d.checkInForce(ctx, config.DocumentName, published.Version) })
	return fmt.Sprintf("version %d on all %d instances %s after it was accepted", published.Version, entryCount+workerCount, elapsedSince(start)), err
}

func elapsedSince(start time.Time) time.Duration { return time.Since(start).Round(time.Millisecond) }

// checkInForce returns an error unless all entries and guards use the version of the document.
func (d *demo) checkInForce(ctx context.Context, document string, version uint64) error {
	var versions []api.DocumentInForce
	if err := d.client.callJSON(ctx, http.MethodGet, "/v1/in-force", nil, &versions); err != nil {
		return err
	}
	count := 0
	for _, inForce := range versions {
		if inForce.Document == document && inForce.Version == version {
			count++
		}
	}
	if count != entryCount+workerCount {
		return errors.Errorf("version %d of %s is in force on %d of %d instances", version, document, count, entryCount+workerCount)
	}
	return nil
}

func (d *demo) correctSnippet(ctx context.Context) (string, error) {
	header := http.Header{api.HeaderRequestID: {"snippet-1"}, api.HeaderTimeout: {"2s"}}
	start := time.Now()
	status, responseHeader, body, err := d.client.send(ctx, http.MethodPost, d.client.nextBaseURL()+snippetsPath, header, []byte("il sindacco apre la seduta"))
	if err != nil {
		return "", err
	}
	if status != http.StatusOK || string(body) != "corrected: il sindacco apre la seduta\n" || responseHeader.Get(api.HeaderRequestID) != "snippet-1" {
		return "", errors.Errorf("status %d, response %q", status, body)
	}
	return fmt.Sprintf("%q in %s", strings.TrimSpace(string(body)), elapsedSince(start)), nil
}

// sendDuplicate sends a request that must not be repeated to both entries at once, with the same idempotency
// key. The request must run once.
func (d *demo) sendDuplicate(ctx context.Context) (string, error) {
	before := d.servedRequests()
	statuses := make(chan int, entryCount)
	for _, baseURL := range d.client.baseURLs {
		go func() {
			header := http.Header{api.HeaderIdempotencyKey: {"billed-1"}, api.HeaderRepeatable: {"false"}}
			status, _, _, err := d.client.send(ctx, http.MethodPost, baseURL+snippetsPath, header, []byte("x"))
			if err != nil {
				status = 0
			}
			statuses <- status
		}()
	}
	succeeded := 0
	for range d.client.baseURLs {
		if <-statuses == http.StatusOK {
			succeeded++
		}
	}
	if runs := d.servedRequests() - before; runs != 1 || succeeded != 1 {
		return "", errors.Errorf("it ran %d times and was answered %d times", runs, succeeded)
	}
	return "sent to both entries at once, it ran once and was answered once", nil
}

// servedRequests returns how many requests all backend servers have started.
func (d *demo) servedRequests() (count int64) {
	for index := 1; index <= workerCount; index++ {
		count += d.platform.Backend(index).Served()
	}
	return count
}

func (d *demo) submit(ctx context.Context, request api.TaskRequest) (*api.Task, error) {
	task := &api.Task{}
	return task, d.client.callJSON(ctx, http.MethodPost, "/v1/tasks", request, task)
}

func (d *demo) waitPhase(ctx context.Context, task *api.Task, phase string) error {
	return retry(ctx, func() error {
		if err := d.client.callJSON(ctx, http.MethodGet, "/v1/tasks/"+task.ID, nil, task); err != nil {
			return err
		}
		if task.Phase != phase {
			return errors.Errorf("task %s is %s: %s", task.ID, task.Phase, task.Reason)
		}
		return nil
	})
}

func (d *demo) runTranscription(ctx context.Context) (string, error) {
	start := time.Now()
	task, err := d.submit(ctx, api.TaskRequest{Team: team, Kind: "transcription", Processors: 4, Memory: "8GiB", RunTime: "500ms", Input: "seduta 12"})
	if err != nil {
		return "", err
	}
	if err := d.waitPhase(ctx, task, "running"); err != nil {
		return "", err
	}
	runningAfter := elapsedSince(start)
	if err := d.waitPhase(ctx, task, "finished"); err != nil {
		return "", err
	}
	// The entry that is asked may not have read as much of the log as the one that showed the task as finished.
	var result api.Result
	if err := retry(ctx, func() error {
		return d.client.callJSON(ctx, http.MethodGet, "/v1/tasks/"+task.ID+"/result", nil, &result)
	}); err != nil {
		return "", err
	}
	if !strings.Contains(result.Output, `"seduta 12"`) {
		return "", errors.Errorf("result is %q, which does not contain the input", result.Output)
	}
	return fmt.Sprintf("on %s by policy %s, running after %s, recorded as finished after %s", task.Worker, task.Policy, runningAfter, elapsedSince(start)), nil
}

// publishPolicy publishes a policy that prefers one worker and checks that the next task is placed on it.
func (d *demo) publishPolicy(ctx context.Context) (string, error) {
	preferred := standin.WorkerName(workerCount)
	name := config.PolicyDocumentName(policy.Placement)
	request := api.PublishRequest{Author: author, Content: fmt.Sprintf("worker.name == %q ? 1 : 0", preferred)}
	var report api.CheckReport
	if err := d.client.callJSON(ctx, http.MethodPost, "/v1/documents/"+name+"/check", request, &report); err != nil {
		return "", err
	}
	var published api.Document
	if err := d.client.callJSON(ctx, http.MethodPut, "/v1/documents/"+name, request, &published); err != nil {
		return "", err
	}
	start := time.Now()
	if err := retry(ctx, func() error { return d.checkInForce(ctx, name, published.Version) }); err != nil {
		return "", err
	}
	inForceAfter := elapsedSince(start)
	task, err := d.submit(ctx, api.TaskRequest{Team: team, Kind: "transcription", Processors: 1, RunTime: "100ms"})
	if err != nil {
		return "", err
	}
	if err := d.waitPhase(ctx, task, "finished"); err != nil {
		return "", err
	}
	if task.Worker != preferred || task.Policy != "placement@1" {
		return "", errors.Errorf("policy %s placed the task on %s", task.Policy, task.Worker)
	}
	return fmt.Sprintf("checked (valid: %t), in force on all instances %s after it was accepted, next task placed on %s", report.Valid, inForceAfter, task.Worker), nil
}

func decodeProblem(body []byte) *api.Problem {
	problem := &api.Problem{}
	if err := json.Unmarshal(body, problem); err != nil {
		return &api.Problem{Title: string(body)}
	}
	return problem
}
