// The import of a snapshot into an empty key-value store.

package snapshot

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// Target is the part of the key-value store's client that Restore uses.
type Target interface {
	ListPage(ctx context.Context, prefix, after string, limit int) (wire.Listing, error)
	Get(ctx context.Context, key string) (wire.Entry, error)
	CompareAndSwap(ctx context.Context, guards []wire.Guard, ops []wire.Op) (uint64, error)
}

// importMarkKey is the key that exists in a key-value store during an import. Its value is the snapshot's
// Header.
const importMarkKey = "ctl/import"

// maxTxnBytes bounds the total size of the guards and puts of a transaction as the key-value store counts
// them, so that it stays below the store's limit of 64 KiB.
const maxTxnBytes = 60 << 10

// ErrNotEmpty means that the key-value store already has records or an unfinished import of a different
// snapshot.
var ErrNotEmpty = errors.New("the state service is not empty")

// Restore writes a snapshot into an empty key-value store, with up to maxOps puts per transaction. It
// returns the number of keys that it has written, also after an error. After an interruption, another call
// with the same snapshot completes the import and counts only the keys that it writes itself. The error
// wraps ErrNotEmpty if the store is not empty.
func Restore(ctx context.Context, to Target, h Header, values map[string]wire.Raw, maxOps int) (int, error) {
	mark, err := beginImport(ctx, to, h)
	if err != nil {
		return 0, err
	}
	written := 0
	keys := slices.Sorted(maps.Keys(values))
	for len(keys) > 0 {
		ops := nextOps(keys, values, maxOps)
		n, err := restoreOps(ctx, to, mark, ops)
		written += n
		if err != nil {
			return written, err
		}
		keys = keys[len(ops):]
	}
	err = retry(ctx, func() error {
		_, err := to.CompareAndSwap(ctx, []wire.Guard{mark}, []wire.Op{{Delete: importMarkKey}})
		return err
	})
	if err != nil {
		return written, fmt.Errorf("import: %w", err)
	}
	return written, nil
}

// beginImport puts importMarkKey into an empty key-value store, or finds it there after an interrupted
// import of the same snapshot. It returns a guard for the key. Every transaction of the import has this
// guard, so that nothing is written after the import has ended.
func beginImport(ctx context.Context, to Target, h Header) (wire.Guard, error) {
	e, err := to.Get(ctx, importMarkKey)
	if err != nil {
		return wire.Guard{}, fmt.Errorf("import: %w", err)
	}
	if e.Version != 0 {
		var started Header
		if err := wire.Unmarshal(e.Value, &started); err != nil || started != h {
			return wire.Guard{}, fmt.Errorf("%w: it has an unfinished import of another snapshot", ErrNotEmpty)
		}
		return wire.Guard{Key: importMarkKey, Version: e.Version}, nil
	}
	page, err := to.ListPage(ctx, "", "", listPageSize)
	if err != nil {
		return wire.Guard{}, fmt.Errorf("import: %w", err)
	}
	if len(page.Items) > 0 {
		return wire.Guard{}, fmt.Errorf("%w: it has %q", ErrNotEmpty, page.Items[0].Key)
	}
	rev, err := to.CompareAndSwap(ctx, []wire.Guard{{Key: importMarkKey}}, []wire.Op{{Put: importMarkKey, Value: h}})
	if err != nil {
		return wire.Guard{}, fmt.Errorf("import: %w", err)
	}
	return wire.Guard{Key: importMarkKey, Version: rev}, nil
}

// nextOps returns puts of the first keys: as many as fit into a transaction, but at least one.
func nextOps(keys []string, values map[string]wire.Raw, maxOps int) []wire.Op {
	var ops []wire.Op
	bytes := 0
	for _, key := range keys {
		op := wire.Op{Put: key, Value: values[key]}
		size := wire.Guard{Key: key}.Size() + op.Size(wire.JSONSize(values[key]))
		if len(ops) >= maxOps || len(ops) > 0 && bytes+size > maxTxnBytes {
			break
		}
		ops = append(ops, op)
		bytes += size
	}
	return ops
}

// restoreOps commits puts of keys that do not exist yet. It returns the number of keys written.
func restoreOps(ctx context.Context, to Target, mark wire.Guard, ops []wire.Op) (int, error) {
	guards := []wire.Guard{mark}
	for _, op := range ops {
		guards = append(guards, wire.Guard{Key: op.Put})
	}
	err := retry(ctx, func() error {
		_, err := to.CompareAndSwap(ctx, guards, ops)
		return err
	})
	if err == nil {
		return len(ops), nil
	}
	if !writtenBefore(err) {
		return 0, fmt.Errorf("import: at %q: %w", ops[0].Put, err)
	}
	// An earlier transaction of this import has written some of the keys. Either its response was lost,
	// or the import was interrupted and resumed. A different maxOps may have divided the keys into other
	// transactions, so each key is tried alone.
	written := 0
	for i, op := range ops {
		err := retry(ctx, func() error {
			_, err := to.CompareAndSwap(ctx, []wire.Guard{mark, {Key: op.Put}}, ops[i:i+1])
			return err
		})
		switch {
		case err == nil:
			written++
		case !writtenBefore(err):
			return written, fmt.Errorf("import: at %q: %w", op.Put, err)
		}
	}
	return written, nil
}

// writtenBefore reports whether a transaction failed only because some of its keys already exist.
func writtenBefore(err error) bool {
	var conflict *kvstore.ConflictError
	return errors.As(err, &conflict) && !slices.Contains(conflict.FailedKeys, importMarkKey)
}
