// An HTTP server with prepared answers, for the checks of requests that clients send.

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

// Answer is a Server's response to one request.
type Answer struct {
	Status int
	Body   []byte
}

// Server is an HTTP server that returns prepared answers in their order and records the requests.
// It is not safe for concurrent requests.
type Server struct {
	srv     *httptest.Server
	answers []Answer
	asked   []string
}

// Serve starts a server with the given answers. It is closed when the test ends. Requests after
// the last answer get status 418.
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
	_, _ = w.Write(a.Body) // the client reports a broken connection
}

// Asked returns the received requests in their order, each as a line with the method, the URL,
// the Accept and Content-Type headers, the body in hexadecimal and the error of reading it.
func (s *Server) Asked() []string { return s.asked }

// Close shuts the server down before the end of the test.
func (s *Server) Close() { s.srv.Close() }
