// The REST interface: routes, access checks and JSON encoding.

package yarn

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/umberdeal/umberdeal/yarn/wire"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// Paths of the REST interface.
const (
	PathREST    = "/ws/v1/cluster"            // root path, the same as in YARN's ResourceManager
	PathContext = "/ws/v1/umberdeal/context/" // followed by a task name; workers read launch contexts here
)

const (
	maxRESTBodyBytes = 256 << 10
	restTimeout      = 10 * time.Second
)

// jsonObject is a JSON object in an answer. Its field names are those of YARN's REST API.
type jsonObject = map[string]any

// restHandler serves a request and returns the answer to be encoded as JSON.
type restHandler func(r *http.Request) (any, error)

// REST returns the HTTP handler of the ResourceManager's REST interface. It supports JSON only.
func (f *Frontend) REST() http.Handler {
	mux := http.NewServeMux()
	handle := func(method, path string, handler restHandler) {
		mux.HandleFunc(method+" "+path, f.serveJSON(handler))
	}
	handle(http.MethodGet, PathREST, f.restInfo)
	handle(http.MethodGet, PathREST+"/info", f.restInfo)
	handle(http.MethodGet, PathREST+"/metrics", f.restMetrics)
	handle(http.MethodGet, PathREST+"/scheduler", f.restScheduler)
	handle(http.MethodGet, PathREST+"/nodes", f.restNodes)
	handle(http.MethodGet, PathREST+"/apps", f.restApps)
	handle(http.MethodGet, PathREST+"/apps/{id}", f.restApp)
	handle(http.MethodGet, PathREST+"/apps/{id}/state", f.restAppState)
	handle(http.MethodGet, PathREST+"/apps/{id}/containers", f.restContainers)
	handle(http.MethodGet, PathContext+"{job}/{task}", f.restLaunchContext)
	handle(http.MethodPost, PathREST+"/apps/new-application", f.restNewApplication)
	handle(http.MethodPut, PathREST+"/apps/{id}/state", f.restKill)
	mux.HandleFunc(http.MethodPost+" "+PathREST+"/apps", f.restSubmit)
	return mux
}

// serveJSON returns an HTTP handler that checks the address of the client, limits the size and time
// of the request, and encodes the answer of handler.
func (f *Frontend) serveJSON(handler restHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !f.allowed(r) {
			writeRESTError(w, errAddressRefused)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), restTimeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, maxRESTBodyBytes)
		out, err := handler(r.WithContext(ctx))
		if err != nil {
			writeRESTError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, out)
	}
}

var errAddressRefused = wire.Errorf(wire.ClassAccess, "not from this address")

// allowed reports whether a request comes from an address that may connect.
func (f *Frontend) allowed(r *http.Request) bool {
	if len(f.settings.Networks) == 0 {
		return true
	}
	a, err := netip.ParseAddrPort(r.RemoteAddr)
	return err == nil && f.settings.prefixes.Contains(a.Addr().Unmap())
}

// writeRESTError writes an error as a RemoteException of YARN's REST API.
func writeRESTError(w http.ResponseWriter, err error) {
	e := wire.AsError(err)
	status := http.StatusBadRequest
	switch e.Class {
	case wire.ClassNoApp, wire.ClassNoContainer:
		status = http.StatusNotFound
	case wire.ClassRetriable, wire.ClassStandby:
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", "1")
	case wire.ClassAccess, wire.ClassInvalidToken:
		status = http.StatusForbidden
	}
	class := string(e.Class)
	simpleName := class[strings.LastIndexByte(class, '.')+1:]
	writeJSON(w, status, jsonObject{"RemoteException": jsonObject{"exception": simpleName, "message": e.Text, "javaClassName": class}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

// pathApplication returns the application id in the path of a request.
func pathApplication(r *http.Request) (*pb.ApplicationIdProto, error) {
	id, ok := parseApplicationName(r.PathValue("id"))
	if !ok {
		return nil, wire.Errorf(wire.ClassNoApp, "invalid application id %q", r.PathValue("id"))
	}
	return id, nil
}
