package session_test

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/logservice"
)

// switchedLog is one entry's way to the log, which can be cut.
type switchedLog struct {
	mu  sync.Mutex
	way logservice.Service
}

var errCut = errors.New("the way to the log is cut")

// set changes the way to the log; nil cuts it.
func (switched *switchedLog) set(way logservice.Service) {
	switched.mu.Lock()
	defer switched.mu.Unlock()
	switched.way = way
}

func (switched *switchedLog) get() logservice.Service {
	switched.mu.Lock()
	defer switched.mu.Unlock()
	return switched.way
}

// Append implements logservice.Service.
func (switched *switchedLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if way := switched.get(); way != nil {
		return way.Append(ctx, stream, data)
	}
	return 0, errCut
}

// Read implements logservice.Service.
func (switched *switchedLog) Read(ctx context.Context, stream string, options logservice.ReadOptions) (logservice.Page, error) {
	if way := switched.get(); way != nil {
		return way.Read(ctx, stream, options)
	}
	return logservice.Page{}, errCut
}
