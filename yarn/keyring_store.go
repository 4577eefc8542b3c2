// Storage of the keyring: reading, caching and repair of its record, rotation of the signing keys,
// and allocation of application ids.

package yarn

import (
	"context"
	"time"

	nwire "github.com/umberdeal/umberdeal/wire"
)

// applicationIDs are the application ids that this controller has taken from the keyring and not
// issued yet.
type applicationIDs struct {
	clusterTimestamp int64
	ids              []int32
}

// idBlockSize is the number of application ids that a controller takes at once.
const idBlockSize = 50

// keyringCache is a controller's copy of the keyring. It repairs a record that becomes unreadable.
type keyringCache struct {
	last        keyring // as of lastVersion
	lastVersion uint64

	badVersion uint64    // the last version that was unreadable
	badSince   time.Time // when badVersion was first seen
}

const (
	// keyringRepairDelay is the delay before an unreadable keyring is replaced by a new one. In
	// the meantime a controller with a copy can repair the record, or a new leader that asks
	// all controllers for their copies.
	keyringRepairDelay = 20 * time.Second
	// repairedIDOffset is the distance from the highest id of a known application to the first id
	// of a new keyring. It is larger than the number of ids that were issued and not submitted.
	repairedIDOffset = 1 << 20
)

// keyringReadAttempts is the number of times that readKeyring reads the record. It reads the record
// again after it has created or repaired it.
const keyringReadAttempts = 3

// readKeyring reads the keyring and its version from the store. It creates the record if it is
// missing and repairs it if it is unreadable.
func (f *Frontend) readKeyring(ctx context.Context) (keyring, uint64, error) {
	for range keyringReadAttempts {
		e, err := f.store.Get(ctx, keysKey)
		if err != nil {
			return keyring{}, 0, err
		}
		if ring, ok := f.decodeKeyring(e.Value, e.Version); ok {
			return ring, e.Version, nil
		}
		ring := keyring{ClusterTimestamp: time.Now().UnixMilli(), NextID: 1}
		if e.Version != 0 {
			if ring, err = f.repairedKeyring(ctx, e.Version); err != nil {
				return keyring{}, 0, err
			}
			f.log.Error("yarn: unreadable keyring replaced", "key", keysKey, "version", e.Version, "remembered", len(ring.Keys) > 0)
		}
		if len(ring.Keys) == 0 {
			first, err := newSigningKey(1)
			if err != nil {
				return keyring{}, 0, err
			}
			ring.Keys = []signingKey{first}
		}
		if err := f.writeKeyring(ctx, ring, e.Version); err != nil && !isConflictOrUnknownOutcome(err) {
			return keyring{}, 0, err
		}
	}
	return keyring{}, 0, errRecordChanged
}

// writeKeyring replaces the given version of the keyring. It fails with a kvstore.ConflictError if
// the record has changed.
func (f *Frontend) writeKeyring(ctx context.Context, ring keyring, version uint64) error {
	_, err := f.store.CompareAndSwap(ctx, []nwire.Guard{{Key: keysKey, Version: version}}, []nwire.Op{{Put: keysKey, Value: ring}})
	return err
}

// decodeKeyring decodes the keyring and copies it to the cache. It returns false if there is no
// record or it is invalid.
func (f *Frontend) decodeKeyring(raw nwire.Raw, version uint64) (ring keyring, ok bool) {
	if version == 0 || nwire.Unmarshal(raw, &ring) != nil || ring.ClusterTimestamp == 0 || len(ring.Keys) == 0 {
		return keyring{}, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if version >= f.keyring.lastVersion {
		f.keyring.last, f.keyring.lastVersion = ring, version
	}
	return ring, true
}

// repairedKeyring returns the replacement of an unreadable keyring. If this controller has a copy
// of the same version, the copy is the replacement. Otherwise repairedKeyring fails with
// errRecordChanged until keyringRepairDelay has passed, and then returns a keyring without keys
// whose ids are beyond those of all known applications. With a new keyring, the tokens of all
// masters are refused, and their applications have to be submitted again.
func (f *Frontend) repairedKeyring(ctx context.Context, version uint64) (keyring, error) {
	if ring, remembered, wait := f.rememberedKeyring(version); remembered {
		return ring, nil
	} else if wait {
		return keyring{}, errRecordChanged
	}
	values, err := f.applicationValues(ctx)
	if err != nil {
		return keyring{}, err
	}
	ring := keyring{ClusterTimestamp: time.Now().UnixMilli()}
	for _, value := range values {
		var app application
		if nwire.Unmarshal(value, &app) == nil && app.ClusterTimestamp != 0 && app.ID > 0 {
			ring.ClusterTimestamp, ring.NextID = app.ClusterTimestamp, max(ring.NextID, app.ID)
		}
	}
	ring.NextID += repairedIDOffset
	return ring, nil
}

// rememberedKeyring returns this controller's copy of the keyring if it has the unreadable version.
// Otherwise, wait reports whether to wait for a repair by another controller: keyringRepairDelay
// has not passed yet.
func (f *Frontend) rememberedKeyring(version uint64) (ring keyring, remembered, wait bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.keyring.lastVersion == version {
		return f.keyring.last, true, false
	}
	if f.keyring.badVersion != version {
		f.keyring.badVersion, f.keyring.badSince = version, time.Now()
	}
	return keyring{}, false, time.Since(f.keyring.badSince) < keyringRepairDelay
}

// applicationValues returns the encoded records of all applications, the unfinished ones first.
func (f *Frontend) applicationValues(ctx context.Context) ([]nwire.Raw, error) {
	unfinished, err := f.jobs.ListApps(ctx)
	if err != nil {
		return nil, err
	}
	final, _, err := f.store.List(ctx, finalPrefix)
	if err != nil {
		return nil, err
	}
	values := make([]nwire.Raw, 0, len(unfinished)+len(final))
	for _, e := range unfinished {
		values = append(values, e.Value)
	}
	for _, e := range final {
		values = append(values, e.Value)
	}
	return values, nil
}

// cachedKeyring returns the keyring as of the last read barrier. The caller must have passed a
// barrier by reading an application. Heartbeats of several masters share a barrier. Reading the
// keyring from the store at each heartbeat exhausted the rate limit of the store and starved
// native users.
func (f *Frontend) cachedKeyring(ctx context.Context) (keyring, error) {
	e := f.jobs.CachedApp(keysKey)
	if ring, ok := f.decodeKeyring(e.Value, e.Version); ok {
		return ring, nil
	}
	ring, _, err := f.readKeyring(ctx)
	return ring, err
}

// newApplicationID returns an id that no controller has issued before.
func (f *Frontend) newApplicationID(ctx context.Context) (clusterTimestamp int64, id int32, err error) {
	if clusterTimestamp, id, ok := f.takeFreeID(); ok {
		return clusterTimestamp, id, nil
	}
	err = retry(ctx, func() error {
		ring, version, err := f.readKeyring(ctx)
		if err != nil {
			return err
		}
		id, clusterTimestamp = ring.NextID, ring.ClusterTimestamp
		ring.NextID += idBlockSize
		return f.writeKeyring(ctx, ring, version)
	})
	if err != nil {
		return 0, 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freeIDs.clusterTimestamp = clusterTimestamp
	for next := id + 1; next < id+idBlockSize; next++ {
		f.freeIDs.ids = append(f.freeIDs.ids, next)
	}
	return clusterTimestamp, id, nil
}

// takeFreeID removes and returns an id of freeIDs. It returns false if none is left.
func (f *Frontend) takeFreeID() (clusterTimestamp int64, id int32, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.freeIDs.ids) == 0 {
		return 0, 0, false
	}
	id = f.freeIDs.ids[0]
	f.freeIDs.ids = f.freeIDs.ids[1:]
	return f.freeIDs.clusterTimestamp, id, true
}

// rotateKey adds a signing key and drops the oldest keys beyond maxSigningKeys. Masters get tokens
// signed with the new key by their heartbeats, long before the older keys are dropped.
func (f *Frontend) rotateKey(ctx context.Context) error {
	return retry(ctx, func() error {
		ring, version, err := f.readKeyring(ctx)
		if err != nil {
			return err
		}
		key, err := newSigningKey(ring.newestID() + 1)
		if err != nil {
			return err
		}
		ring.Keys = append(ring.Keys, key)
		ring.Keys = ring.Keys[max(0, len(ring.Keys)-maxSigningKeys):]
		return f.writeKeyring(ctx, ring, version)
	})
}
