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

// maxAnswerBytes bounds what is read of an answer.
const maxAnswerBytes = 64 << 20

// getJSON asks an operators' address. The answer is read whatever the status.
func getJSON(at, path string, out any) (status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+path, nil)
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

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// readJSON reads a JSON object. Whole numbers become integers, since counts must be integers
// on the wire; numbers within lists and objects, which no field of a job has, are left as
// json.Number.
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
