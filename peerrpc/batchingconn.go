// A connection that batches small writes.

package peerrpc

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// flushDelay is the time for which written data is held back to batch it with later
	// writes. A system call for each of hundreds of heartbeats per second is too costly.
	flushDelay = 5 * time.Millisecond
	// maxBuffered bounds the bytes that wait to be sent. It limits the memory used for a
	// node that has stopped reading.
	maxBuffered = 2 << 20
	// maxSpare is the largest capacity, in bytes, of a buffer that is reused.
	maxSpare = 256 << 10
	// writeTimeout bounds the duration of one flush.
	writeTimeout = 5 * time.Second
)

var errWriteBufferFull = errors.New("peerrpc: write buffer full")

// batchingConn is a connection whose writes never block. Write appends to a buffer, and
// the goroutine flushLoop sends the buffer. The goroutine ends when the connection is
// closed or a flush fails.
type batchingConn struct {
	net.Conn
	lastRead atomic.Int64 // unix nanoseconds

	mu     sync.Mutex // guards buffer and err
	buffer []byte
	err    error // first write error, which all later writes return

	pending   chan struct{} // holds an item if the buffer has data to flush
	closed    chan struct{}
	closeOnce sync.Once
}

func newBatchingConn(c net.Conn) *batchingConn {
	b := &batchingConn{Conn: c, pending: make(chan struct{}, 1), closed: make(chan struct{})}
	b.lastRead.Store(time.Now().UnixNano())
	go b.flushLoop()
	return b
}

// Read reads from the connection and closes it if reading fails. net/rpc would close it
// only when the next request fails.
func (b *batchingConn) Read(p []byte) (int, error) {
	n, err := b.Conn.Read(p)
	if err != nil {
		_ = b.Close() // the read error is returned instead
		return n, err
	}
	b.lastRead.Store(time.Now().UnixNano())
	return n, nil
}

// sinceLastRead returns the time since data was last received.
func (b *batchingConn) sinceLastRead() time.Duration {
	return time.Since(time.Unix(0, b.lastRead.Load()))
}

// Write queues p and returns immediately. It returns an error if the buffer would exceed
// maxBuffered. After the first error, every later Write returns the same error.
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

// flushLoop sends queued data until the connection is closed or a write fails.
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
		// Swap the two buffers. spare is set to nil because Write would overwrite the
		// data being sent if both buffers shared the same memory.
		b.mu.Lock()
		out := b.buffer
		b.buffer, spare = spare[:0], nil
		b.mu.Unlock()
		if err := b.flush(out); err != nil {
			b.mu.Lock()
			b.err = err
			b.mu.Unlock()
			_ = b.Close() // later writes return the write error
			return
		}
		if cap(out) <= maxSpare {
			spare = out
		}
	}
}

// flush sends out within writeTimeout.
func (b *batchingConn) flush(out []byte) error {
	if len(out) == 0 {
		return nil
	}
	_ = b.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only if the connection is closed
	_, err := b.Conn.Write(out)
	return err
}

// Close closes the connection. Queued data is discarded.
func (b *batchingConn) Close() error {
	b.closeOnce.Do(func() { close(b.closed) })
	return b.Conn.Close()
}
