package fake

import (
	"net"
	"sync"
	"time"
)

// This file has the listeners and connections of the network.

// listener accepts connections at an address.
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
	direction        // who has opened it, and to whom
	side      string // whose end it is

	closed    chan struct{}
	broken    chan struct{} // closed when all that is under way is lost
	closeOnce sync.Once
	breakOnce sync.Once
	out       chan []byte // what was written and is not sent yet
}

// socketBuffer is how many writes a connection takes that nobody has read yet.
const socketBuffer = 4096

// newConn makes an end of a connection. As with sockets, what is written waits in
// the connection, and is there for a process that was paused.
func (n *Network) newConn(c net.Conn, way direction, side string) *conn {
	e := &conn{Conn: c, network: n, direction: way, side: side, closed: make(chan struct{}), broken: make(chan struct{}), out: make(chan []byte, socketBuffer)}
	go e.sendBuffered()
	return e
}

// peer is the host at the other end.
func (c *conn) peer() string {
	if c.side == c.to {
		return c.from
	}
	return c.to
}

// sendBuffered sends what is written until the connection is closed and nothing is left.
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
	k, err := c.Conn.Read(b)
	c.network.awaitResume(c.side, c.closed)
	return k, err
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

// Close lets what was written arrive, and ends the reading here at once.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.network.closeConn(c)
		_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only where the other end is closed
	})
	return nil
}

// breakOff ends the connection with all that is under way.
func (c *conn) breakOff() {
	c.breakOnce.Do(func() { close(c.broken) })
	_ = c.Close()
	_ = c.Conn.Close()
}
