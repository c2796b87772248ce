package gateway

import (
	"errors"
	"testing"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// TestPreferredState checks which state a client gets if the owner in this process may have been replaced.
func TestPreferredState(t *testing.T) {
	failed := errors.New("no answer")
	running := &wire.JobStateReply{Known: true, State: job.State_STATE_RUNNING, Unconfirmed: true}
	completed := &wire.JobStateReply{Known: true, State: job.State_STATE_COMPLETED}
	tests := map[string]struct {
		local               *wire.JobStateReply
		localErr, remoteErr error
		want                *wire.JobStateReply
	}{
		"the successor knows more":           {local: running, want: completed},
		"the successor does not answer":      {local: running, remoteErr: failed, want: running},
		"only the successor answers":         {localErr: failed, want: completed},
		"neither answers, so ask them again": {localErr: failed, remoteErr: failed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var remote *wire.JobStateReply
			if test.remoteErr == nil {
				remote = completed
			}
			got, err := preferredState(test.local, test.localErr, remote, test.remoteErr)
			if got != test.want || (err != nil) != (test.want == nil) {
				t.Errorf("got %v, error %v", got, err)
			}
		})
	}
}
