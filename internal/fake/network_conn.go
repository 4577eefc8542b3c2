// Listeners and connections of the simulated network.

package fake

import (
	"net"
	"sync"
	"time"
)

// listener accepts connections at an address of a Network.
type listener struct {
	n      *Network
	addr   string
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.n.mu.Lock()
		if l.n.listeners[l.addr] == l {
			delete(l.n.listeners, l.addr)
		}
		l.n.mu.Unlock()
	})
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.addr) }

type addr string

func (addr) Network() string  { return "fake" }
func (a addr) String() string { return string(a) }

// conn is one end of a connection.
type conn struct {
	net.Conn
	network   *Network
	direction        // from the host that opened the connection
	side      string // the host of this end

	closed    chan struct{}
	broken    chan struct{} // closed when unsent data is dropped
	closeOnce sync.Once
	breakOnce sync.Once
	out       chan []byte // written data that is not sent yet
}

// socketBufferWrites is the number of writes that a connection buffers before a write blocks.
const socketBufferWrites = 4096

// newConn returns an end of a connection. Like a socket it buffers writes, so that a peer finds
// the data after a pause of its process.
func (n *Network) newConn(pipe net.Conn, way direction, side string) *conn {
	c := &conn{Conn: pipe, network: n, direction: way, side: side, closed: make(chan struct{}), broken: make(chan struct{}), out: make(chan []byte, socketBufferWrites)}
	go c.sendBuffered()
	return c
}

// peer returns the host at the other end.
func (c *conn) peer() string {
	if c.side == c.to {
		return c.from
	}
	return c.to
}

// sendBuffered sends written data until the connection is closed and the buffer is empty.
func (c *conn) sendBuffered() {
	defer c.Conn.Close()
	write := func(b []byte) error {
		c.network.awaitDelivery(direction{c.side, c.peer()}, c.broken)
		_, err := c.Conn.Write(b)
		return err
	}
	for {
		select {
		case b := <-c.out:
			if write(b) != nil {
				return
			}
			continue
		default:
		}
		select {
		case b := <-c.out:
			if write(b) != nil {
				return
			}
		case <-c.closed:
			if len(c.out) == 0 {
				return
			}
		}
	}
}

func (c *conn) Read(b []byte) (int, error) {
	c.network.awaitResume(c.side, c.closed)
	n, err := c.Conn.Read(b)
	c.network.awaitResume(c.side, c.closed)
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	c.network.awaitResume(c.side, c.closed)
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	select {
	case c.out <- append([]byte(nil), b...):
		return len(b), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Close ends reads at this end at once. Written data is still delivered.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.network.closeConn(c)
		_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only where the other end is closed
	})
	return nil
}

// breakOff closes the connection and drops its unsent data.
func (c *conn) breakOff() {
	c.breakOnce.Do(func() { close(c.broken) })
	_ = c.Close()
	_ = c.Conn.Close()
}
