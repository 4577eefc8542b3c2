// JSON input and output of the commands.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// maxAnswerBytes bounds the size of an answer that is read. The rest is ignored.
	maxAnswerBytes = 64 << 20
	// operatorRequestTimeout bounds a request to a node's address for operators.
	operatorRequestTimeout = 15 * time.Second
)

// getJSON requests path from a node's address for operators and decodes the answer into out. It decodes
// the answer for any status, and returns the status.
func getJSON(addr, path string, out any) (status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorRequestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(out); err != nil {
		return resp.StatusCode, fmt.Errorf("status %s, unreadable answer: %w", resp.Status, err)
	}
	return resp.StatusCode, nil
}

// printJSON writes v as indented JSON.
func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// readJSON reads a JSON object. Numbers without a fraction or exponent become int64, because counts must
// be integers on the wire. Other numbers become float64. Numbers within lists and nested objects, which
// no field of a job has, stay json.Number.
func readJSON(r io.Reader) (map[string]any, error) {
	dec := json.NewDecoder(r)
	dec.UseNumber()
	var m map[string]any
	if err := dec.Decode(&m); err != nil {
		return nil, err
	}
	for k, v := range m {
		n, ok := v.(json.Number)
		if !ok {
			continue
		}
		if !strings.ContainsAny(n.String(), ".eE") {
			if i, err := n.Int64(); err == nil {
				m[k] = i
				continue
			}
		}
		f, err := n.Float64()
		if err != nil {
			return nil, err
		}
		m[k] = f
	}
	return m, nil
}
