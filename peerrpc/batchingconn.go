package peerrpc

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// flushDelay is how long what is written waits for more to go along: a few
	// hundred heartbeats a second become some tens of packets.
	flushDelay = 5 * time.Millisecond
	// maxBuffered is how much may wait to be written. A node that reads nothing
	// any more costs this much memory and no more.
	maxBuffered = 2 << 20
	// maxSpare is the largest buffer that is kept for later.
	maxSpare = 256 << 10
	// writeTimeout is how long what is flushed may take to be written.
	writeTimeout = 5 * time.Second
)

var errWriteBufferFull = errors.New("peerrpc: write buffer full")

// batchingConn is a connection whose writes never block: they are gathered, and written
// together by a goroutine that ends with Close.
type batchingConn struct {
	net.Conn
	lastRead atomic.Int64 // unix nanoseconds

	mu     sync.Mutex // guards buffer and err
	buffer []byte
	err    error // of an earlier write; all later ones fail with it

	pending   chan struct{} // has an item if there is something to flush
	closed    chan struct{}
	closeOnce sync.Once
}

func newBatchingConn(c net.Conn) *batchingConn {
	b := &batchingConn{Conn: c, pending: make(chan struct{}, 1), closed: make(chan struct{})}
	b.lastRead.Store(time.Now().UnixNano())
	go b.flushLoop()
	return b
}

// Read closes the connection when it fails, because net/rpc does so only when the next
// request finds it dead.
func (b *batchingConn) Read(p []byte) (int, error) {
	n, err := b.Conn.Read(p)
	if err != nil {
		_ = b.Close() // the read error is the one that is told
		return n, err
	}
	b.lastRead.Store(time.Now().UnixNano())
	return n, nil
}

// sinceLastRead is for how long nothing has come.
func (b *batchingConn) sinceLastRead() time.Duration {
	return time.Since(time.Unix(0, b.lastRead.Load()))
}

// Write queues p and returns at once. It fails if too much is queued, or once writing
// has failed.
func (b *batchingConn) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil && len(b.buffer)+len(p) > maxBuffered {
		b.err = errWriteBufferFull
	}
	if b.err != nil {
		return 0, b.err
	}
	b.buffer = append(b.buffer, p...)
	select {
	case b.pending <- struct{}{}:
	default:
	}
	return len(p), nil
}

// flushLoop writes what is queued until the connection is closed or fails.
func (b *batchingConn) flushLoop() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var spare []byte
	for {
		select {
		case <-b.closed:
			return
		case <-b.pending:
		}
		timer.Reset(flushDelay)
		select {
		case <-b.closed:
			return
		case <-timer.C:
		}
		// The two buffers change places, and neither may be in both: what is
		// written next would overwrite what is being sent.
		b.mu.Lock()
		out := b.buffer
		b.buffer, spare = spare[:0], nil
		b.mu.Unlock()
		if err := b.flush(out); err != nil {
			b.mu.Lock()
			b.err = err
			b.mu.Unlock()
			_ = b.Close() // the write error is the one that is kept
			return
		}
		if cap(out) <= maxSpare {
			spare = out
		}
	}
}

func (b *batchingConn) flush(out []byte) error {
	if len(out) == 0 {
		return nil
	}
	_ = b.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only where the connection is closed
	_, err := b.Conn.Write(out)
	return err
}

// Close closes the connection; what is queued is lost.
func (b *batchingConn) Close() error {
	b.closeOnce.Do(func() { close(b.closed) })
	return b.Conn.Close()
}
