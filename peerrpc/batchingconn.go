package peerrpc

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// flushDelay is how long written data is held back to be batched with later
	// writes: one write for each of hundreds of heartbeats a second is too costly.
	flushDelay = 5 * time.Millisecond
	// maxBuffered bounds the bytes that wait to be sent, and so the memory that a
	// node costs which has stopped reading.
	maxBuffered = 2 << 20
	// maxSpare is the capacity up to which a buffer is reused.
	maxSpare = 256 << 10
	// writeTimeout bounds one flush.
	writeTimeout = 5 * time.Second
)

var errWriteBufferFull = errors.New("peerrpc: write buffer full")

// batchingConn is a connection whose writes never block: Write appends to a buffer,
// which flushLoop sends. That goroutine ends when the connection is closed or a flush
// fails.
type batchingConn struct {
	net.Conn
	lastRead atomic.Int64 // unix nanoseconds

	mu     sync.Mutex // guards buffer and err
	buffer []byte
	err    error // first write error, which all later writes return

	pending   chan struct{} // holds an item if there is something to flush
	closed    chan struct{}
	closeOnce sync.Once
}

func newBatchingConn(c net.Conn) *batchingConn {
	b := &batchingConn{Conn: c, pending: make(chan struct{}, 1), closed: make(chan struct{})}
	b.lastRead.Store(time.Now().UnixNano())
	go b.flushLoop()
	return b
}

// Read closes the connection when reading fails: net/rpc itself would not close it
// before the next request fails.
func (b *batchingConn) Read(p []byte) (int, error) {
	n, err := b.Conn.Read(p)
	if err != nil {
		_ = b.Close() // the read error matters more
		return n, err
	}
	b.lastRead.Store(time.Now().UnixNano())
	return n, nil
}

// sinceLastRead returns the time since data was last received.
func (b *batchingConn) sinceLastRead() time.Duration {
	return time.Since(time.Unix(0, b.lastRead.Load()))
}

// Write queues p and returns at once. It fails if the buffer would exceed maxBuffered,
// and always after a failed write.
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
		// Swap the two buffers. The spare is cleared because the same memory must
		// not serve both: Write would overwrite the data that is being sent.
		b.mu.Lock()
		out := b.buffer
		b.buffer, spare = spare[:0], nil
		b.mu.Unlock()
		if err := b.flush(out); err != nil {
			b.mu.Lock()
			b.err = err
			b.mu.Unlock()
			_ = b.Close() // the write error matters more
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
	_ = b.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only if the connection is closed
	_, err := b.Conn.Write(out)
	return err
}

// Close closes the connection. Queued data is discarded.
func (b *batchingConn) Close() error {
	b.closeOnce.Do(func() { close(b.closed) })
	return b.Conn.Close()
}
