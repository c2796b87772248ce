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

// publishConfig publishes Verbalia's configuration and waits until every entry
// and guard decides by it.
func (running *demo) publishConfig(ctx context.Context) (string, error) {
	content, err := examples.Files.ReadFile("verbalia/config.yaml")
	if err != nil {
		return "", errors.Wrap(err, "read example")
	}
	asked := api.PublishRequest{Author: author, Content: string(content)}
	var published api.Document
	if err := retry(ctx, func() error {
		return running.client.callJSON(ctx, http.MethodPut, "/v1/documents/"+config.DocumentName, asked, &published)
	}); err != nil {
		return "", err
	}
	began := time.Now()
	err = retry(ctx, func() error { return running.checkInForce(ctx, config.DocumentName, published.Version) })
	return fmt.Sprintf("version %d on all %d instances %s after it was accepted", published.Version, entryCount+workerCount, elapsedSince(began)), err
}

func elapsedSince(began time.Time) time.Duration { return time.Since(began).Round(time.Millisecond) }

func (running *demo) checkInForce(ctx context.Context, document string, version uint64) error {
	var listed []api.DocumentInForce
	if err := running.client.callJSON(ctx, http.MethodGet, "/v1/in-force", nil, &listed); err != nil {
		return err
	}
	count := 0
	for _, each := range listed {
		if each.Document == document && each.Version == version {
			count++
		}
	}
	if count != entryCount+workerCount {
		return errors.Errorf("version %d of %s is in force on %d of %d instances", version, document, count, entryCount+workerCount)
	}
	return nil
}

func (running *demo) correctSnippet(ctx context.Context) (string, error) {
	header := http.Header{api.HeaderRequestID: {"snippet-1"}, api.HeaderTimeout: {"2s"}}
	began := time.Now()
	status, answered, body, err := running.client.send(ctx, http.MethodPost, running.client.nextBaseURL()+snippetsPath, header, []byte("il sindacco apre la seduta"))
	if err != nil {
		return "", err
	}
	if status != http.StatusOK || string(body) != "corrected: il sindacco apre la seduta\n" || answered.Get(api.HeaderRequestID) != "snippet-1" {
		return "", errors.Errorf("status %d, answer %q", status, body)
	}
	return fmt.Sprintf("%q in %s", strings.TrimSpace(string(body)), elapsedSince(began)), nil
}

// sendDuplicate sends the same key to both entries at once; it must run once.
func (running *demo) sendDuplicate(ctx context.Context) (string, error) {
	before := running.servedRequests()
	statuses := make(chan int, entryCount)
	for _, base := range running.client.baseURLs {
		go func() {
			header := http.Header{api.HeaderIdempotencyKey: {"billed-1"}, api.HeaderRepeatable: {"false"}}
			status, _, _, err := running.client.send(ctx, http.MethodPost, base+snippetsPath, header, []byte("x"))
			if err != nil {
				status = 0
			}
			statuses <- status
		}()
	}
	whole := 0
	for range running.client.baseURLs {
		if <-statuses == http.StatusOK {
			whole++
		}
	}
	if ran := running.servedRequests() - before; ran != 1 || whole != 1 {
		return "", errors.Errorf("it ran %d times and was answered %d times", ran, whole)
	}
	return "sent to both entries at once, it ran once and was answered once", nil
}

func (running *demo) servedRequests() (count int64) {
	for index := 1; index <= workerCount; index++ {
		count += running.platform.Backend(index).Served()
	}
	return count
}

func (running *demo) submit(ctx context.Context, asked api.TaskRequest) (*api.Task, error) {
	task := &api.Task{}
	return task, running.client.callJSON(ctx, http.MethodPost, "/v1/tasks", asked, task)
}

func (running *demo) waitPhase(ctx context.Context, task *api.Task, phase string) error {
	return retry(ctx, func() error {
		if err := running.client.callJSON(ctx, http.MethodGet, "/v1/tasks/"+task.ID, nil, task); err != nil {
			return err
		}
		if task.Phase != phase {
			return errors.Errorf("task %s is %s: %s", task.ID, task.Phase, task.Reason)
		}
		return nil
	})
}

func (running *demo) runTranscription(ctx context.Context) (string, error) {
	began := time.Now()
	task, err := running.submit(ctx, api.TaskRequest{Team: team, Kind: "transcription", Processors: 4, Memory: "8GiB", RunTime: "500ms", Input: "seduta 12"})
	if err != nil {
		return "", err
	}
	if err := running.waitPhase(ctx, task, "running"); err != nil {
		return "", err
	}
	started := elapsedSince(began)
	if err := running.waitPhase(ctx, task, "finished"); err != nil {
		return "", err
	}
	var result api.Result
	if err := running.client.callJSON(ctx, http.MethodGet, "/v1/tasks/"+task.ID+"/result", nil, &result); err != nil {
		return "", err
	}
	if !strings.Contains(result.Output, `"seduta 12"`) {
		return "", errors.Errorf("the result is %q", result.Output)
	}
	return fmt.Sprintf("on %s by policy %s, running after %s, recorded as finished after %s", task.Worker, task.Policy, started, elapsedSince(began)), nil
}

// publishPolicy makes one worker the best for everything and sees the next
// task go there.
func (running *demo) publishPolicy(ctx context.Context) (string, error) {
	preferred := standin.WorkerName(workerCount)
	name := config.PolicyDocumentName(policy.Placement)
	asked := api.PublishRequest{Author: author, Content: fmt.Sprintf("worker.name == %q ? 1 : 0", preferred)}
	var report api.CheckReport
	if err := running.client.callJSON(ctx, http.MethodPost, "/v1/documents/"+name+"/check", asked, &report); err != nil {
		return "", err
	}
	var published api.Document
	if err := running.client.callJSON(ctx, http.MethodPut, "/v1/documents/"+name, asked, &published); err != nil {
		return "", err
	}
	began := time.Now()
	if err := retry(ctx, func() error { return running.checkInForce(ctx, name, published.Version) }); err != nil {
		return "", err
	}
	everywhere := elapsedSince(began)
	task, err := running.submit(ctx, api.TaskRequest{Team: team, Kind: "transcription", Processors: 1, RunTime: "100ms"})
	if err != nil {
		return "", err
	}
	if err := running.waitPhase(ctx, task, "finished"); err != nil {
		return "", err
	}
	if task.Worker != preferred || task.Policy != "placement@1" {
		return "", errors.Errorf("policy %s placed it on %s", task.Policy, task.Worker)
	}
	return fmt.Sprintf("checked (valid: %t), in force on all instances %s after it was accepted, next task placed on %s", report.Valid, everywhere, task.Worker), nil
}

func decodeProblem(body []byte) *api.Problem {
	problem := &api.Problem{}
	if err := json.Unmarshal(body, problem); err != nil {
		return &api.Problem{Title: string(body)}
	}
	return problem
}
