package session_test

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/logservice"
)

// switchableLog is one entry's way to the log, which can be cut.
type switchableLog struct {
	mu      sync.Mutex
	service logservice.Service
}

var errLogDisconnected = errors.New("the way to the log is cut")

// set changes the way to the log; nil cuts it.
func (switched *switchableLog) set(way logservice.Service) {
	switched.mu.Lock()
	defer switched.mu.Unlock()
	switched.service = way
}

func (switched *switchableLog) get() logservice.Service {
	switched.mu.Lock()
	defer switched.mu.Unlock()
	return switched.service
}

// Append implements logservice.Service.
func (switched *switchableLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if way := switched.get(); way != nil {
		return way.Append(ctx, stream, data)
	}
	return 0, errLogDisconnected
}

// Read implements logservice.Service.
func (switched *switchableLog) Read(ctx context.Context, stream string, options logservice.ReadOptions) (logservice.Page, error) {
	if way := switched.get(); way != nil {
		return way.Read(ctx, stream, options)
	}
	return logservice.Page{}, errLogDisconnected
}
