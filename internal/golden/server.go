package golden

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Answer is what a Server says to a request.
type Answer struct {
	Status int
	Body   []byte
}

// Server is an HTTP server that gives the answers it was told, in their order, and
// knows what it was asked. One request comes at a time.
type Server struct {
	srv     *httptest.Server
	answers []Answer
	asked   []string
}

// Serve starts a server that ends with the test.
func Serve(tb testing.TB, answers ...Answer) *Server {
	tb.Helper()
	s := &Server{answers: answers}
	s.srv = httptest.NewServer(s)
	tb.Cleanup(s.srv.Close)
	return s
}

// Dial opens a connection to the server, whatever the address.
func (s *Server) Dial(ctx context.Context, network, _ string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, s.srv.Listener.Addr().String())
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	s.asked = append(s.asked, fmt.Sprintf("%s %s%s %s %s %s %v", r.Method, r.Host, r.URL.RequestURI(), r.Header.Get("Accept"),
		r.Header.Get("Content-Type"), hex.EncodeToString(body), err))
	if len(s.answers) == 0 {
		w.WriteHeader(http.StatusTeapot)
		return
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // a client that is gone reports it itself
}

// Asked lists the requests that have come: method, URL, headers that say the form
// of the bodies, and the body in hex.
func (s *Server) Asked() []string { return s.asked }

// Close ends the server: nobody is answered any more.
func (s *Server) Close() { s.srv.Close() }
