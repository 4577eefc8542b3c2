// Package memnet has an in-memory net.Listener and the function that dials it, for tests that
// need neither addresses nor faults of a network.
package memnet

import (
	"context"
	"net"
)

// Listener accepts the connections that Dial opens. It is safe for concurrent use, except that
// Dial must not be called after End.
type Listener struct{ dialed chan net.Conn }

// Listen returns a listener with a queue for waiting connections that are not accepted yet.
func Listen(waiting int) *Listener { return &Listener{make(chan net.Conn, waiting)} }

// Accept returns the next connection, or net.ErrClosed after End.
func (l *Listener) Accept() (net.Conn, error) {
	conn, ok := <-l.dialed
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Close does nothing, so that a server may close the listener while clients still dial. End
// closes the queue.
func (l *Listener) Close() error { return nil }

// Addr returns a placeholder. The listener has no address.
func (l *Listener) Addr() net.Addr { return &net.UnixAddr{Name: "memnet", Net: "memnet"} }

// Dial opens a connection to the listener, whatever the address. It blocks while the queue is
// full and ignores the context.
func (l *Listener) Dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	l.dialed <- server
	return client, nil
}

// End makes Accept fail once the queue is empty. A later Dial panics.
func (l *Listener) End() { close(l.dialed) }
