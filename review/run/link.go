package main

import (
	"bytes"
	"context"
	"net"
	"time"
)

// link is the network between the gateways and one agent. It delays what far gateways send and receive, as between two
// zones, and knows them by the names that they state first.
type link struct {
	listener net.Listener
	agent    string
	far      []string
	delay    time.Duration
}

// newLink returns a link to the agent at an address.
func newLink(ctx context.Context, listenAt, agent string, far []string, delay time.Duration) (*link, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", listenAt)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, agent: agent, far: far, delay: delay}
	go l.accept(context.WithoutCancel(ctx))
	return l, nil
}

func (l *link) accept(ctx context.Context) {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		agent, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.agent)
		if err != nil {
			_ = client.Close()
			continue
		}
		go l.carry(client, agent)
	}
}

// carry carries the bytes of a connection in both directions, once the gateway has stated its name.
func (l *link) carry(client, agent net.Conn) {
	greeting, delay, err := l.identify(client)
	if err != nil {
		_ = client.Close()
		_ = agent.Close()
		return
	}
	go copyDelayed(client, agent, nil, delay)
	copyDelayed(agent, client, greeting, delay)
}

// identify reads what a gateway sends until its name is in it, and returns it with the delay of the gateway.
func (l *link) identify(client net.Conn) (greeting []byte, delay time.Duration, err error) {
	buffer := make([]byte, 4096)
	for !bytes.Contains(greeting, []byte(memberMark)) {
		count, err := client.Read(buffer)
		if err != nil {
			return nil, 0, err
		}
		greeting = append(greeting, buffer[:count]...)
	}
	for _, name := range l.far {
		if bytes.Contains(greeting, []byte(name+memberMark)) {
			return greeting, l.delay, nil
		}
	}
	return greeting, 0, nil
}

// memberMark follows the name of a gateway in the first message on a connection.
const memberMark = "|"

// chunk is what was read at a time.
type chunk struct {
	data  []byte
	dueAt time.Time
}

// copyDelayed copies one direction of a connection, each byte after the delay. It closes both ends when one has ended.
func copyDelayed(to, from net.Conn, first []byte, delay time.Duration) {
	chunks := make(chan chunk, 1024)
	chunks <- chunk{first, time.Now().Add(delay)}
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, 16384)
			count, err := from.Read(buffer)
			if err != nil {
				return
			}
			chunks <- chunk{buffer[:count], time.Now().Add(delay)}
		}
	}()
	failed := false
	for next := range chunks {
		if failed {
			continue
		}
		time.Sleep(time.Until(next.dueAt))
		if _, err := to.Write(next.data); err != nil {
			failed = true
			_ = from.Close()
		}
	}
	_ = to.Close()
	_ = from.Close()
}
