// Package memnet is a listener and its dialler in memory, for tests that need no
// more of a network than that.
package memnet

import (
	"context"
	"net"
)

// Listener hands out connections that were dialled.
type Listener struct{ c chan net.Conn }

// Listen makes a listener on which so many connections may wait.
func Listen(waiting int) *Listener { return &Listener{make(chan net.Conn, waiting)} }

// Accept returns the next connection, or net.ErrClosed after End.
func (l *Listener) Accept() (net.Conn, error) {
	c, ok := <-l.c
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close does nothing: End says when no more connections come.
func (l *Listener) Close() error { return nil }

// Addr is no address.
func (l *Listener) Addr() net.Addr { return &net.UnixAddr{Name: "memnet", Net: "memnet"} }

// Dial opens a connection, and waits for its place.
func (l *Listener) Dial(context.Context, string, string) (net.Conn, error) {
	a, b := net.Pipe()
	l.c <- b
	return a, nil
}

// End lets Accept fail; nobody may dial any more.
func (l *Listener) End() { close(l.c) }
