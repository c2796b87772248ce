package session_test

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/logservice"
)

// switchableLog is the connection of one entry to the log. A test can replace or disconnect it.
type switchableLog struct {
	mu      sync.Mutex
	service logservice.Service
}

var errLogDisconnected = errors.New("the log is disconnected")

// set replaces the log service; nil disconnects it.
func (l *switchableLog) set(service logservice.Service) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.service = service
}

func (l *switchableLog) get() logservice.Service {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.service
}

// Append implements logservice.Service.
func (l *switchableLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if service := l.get(); service != nil {
		return service.Append(ctx, stream, data)
	}
	return 0, errLogDisconnected
}

// Read implements logservice.Service. A read that was in progress when the log was disconnected gets no answer.
func (l *switchableLog) Read(ctx context.Context, stream string, options logservice.ReadOptions) (logservice.Page, error) {
	service := l.get()
	if service == nil {
		return logservice.Page{}, errLogDisconnected
	}
	page, err := service.Read(ctx, stream, options)
	if l.get() == nil {
		return logservice.Page{}, errLogDisconnected
	}
	return page, err
}
