package yarn

import (
	"context"
	"time"

	nwire "github.com/umberdeal/umberdeal/wire"
)

// applicationIDs are the application ids that this controller has taken and not issued yet.
type applicationIDs struct {
	clusterTimestamp int64
	ids              []int32
}

// idBlock is the number of ids that a controller takes at once.
const idBlock = 50

// keyringCache is a controller's copy of the keyring, from which the record is repaired if it
// becomes unreadable.
type keyringCache struct {
	last        keyring // as last read, in the version lastVersion
	lastVersion uint64

	badVersion uint64 // the version that could not be read
	badSince   time.Time
}

const (
	// keyringRepairDelay is for how long an unreadable keyring is not replaced by a new one,
	// so that a controller with a copy, or a new leader that asks all controllers for
	// theirs, can repair it.
	keyringRepairDelay = 20 * time.Second
	// idsBeyond is the distance of a new keyring's ids from the highest one of a known
	// application: more than the ids that were issued and not submitted.
	idsBeyond = 1 << 20
)

// readKeyring reads the keyring from the store. It creates the record if there is none, and
// repairs it if it is unreadable.
func (f *Frontend) readKeyring(ctx context.Context) (keyring, uint64, error) {
	for range 3 {
		e, err := f.store.Get(ctx, keysKey)
		if err != nil {
			return keyring{}, 0, err
		}
		if k, ok := f.decodeKeyring(e.Value, e.Version); ok {
			return k, e.Version, nil
		}
		k := keyring{ClusterTimestamp: time.Now().UnixMilli(), NextID: 1}
		if e.Version != 0 {
			if k, err = f.repairedKeyring(ctx, e.Version); err != nil {
				return keyring{}, 0, err
			}
			f.log.Error("yarn: unreadable keyring replaced", "key", keysKey, "version", e.Version, "remembered", len(k.Keys) > 0)
		}
		if len(k.Keys) == 0 {
			first, err := newSigningKey(1)
			if err != nil {
				return keyring{}, 0, err
			}
			k.Keys = []signingKey{first}
		}
		if err := f.writeKeyring(ctx, k, e.Version); err != nil && !lostRace(err) {
			return keyring{}, 0, err
		}
	}
	return keyring{}, 0, errRecordChanged
}

// writeKeyring replaces the keyring unless it has changed since the version that was read.
func (f *Frontend) writeKeyring(ctx context.Context, k keyring, version uint64) error {
	_, err := f.store.CompareAndSwap(ctx, []nwire.Guard{{Key: keysKey, Version: version}}, []nwire.Op{{Put: keysKey, Value: k}})
	return err
}

// decodeKeyring decodes the keyring, and copies it to the cache.
func (f *Frontend) decodeKeyring(raw nwire.Raw, version uint64) (k keyring, ok bool) {
	if version == 0 || nwire.Unmarshal(raw, &k) != nil || k.ClusterTimestamp == 0 || len(k.Keys) == 0 {
		return keyring{}, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if version >= f.keyring.lastVersion {
		f.keyring.last, f.keyring.lastVersion = k, version
	}
	return k, true
}

// repairedKeyring returns the replacement of an unreadable keyring: this controller's copy of the
// same version, or, after keyringRepairDelay, one without keys. The ids of the latter are
// beyond those of all known applications. Masters' tokens are refused then, and their
// applications have to be submitted again.
func (f *Frontend) repairedKeyring(ctx context.Context, version uint64) (keyring, error) {
	if k, remembered, wait := f.rememberedKeyring(version); remembered {
		return k, nil
	} else if wait {
		return keyring{}, errRecordChanged
	}
	values, err := f.applicationValues(ctx)
	if err != nil {
		return keyring{}, err
	}
	k := keyring{ClusterTimestamp: time.Now().UnixMilli()}
	for _, value := range values {
		var app application
		if nwire.Unmarshal(value, &app) == nil && app.ClusterTimestamp != 0 && app.ID > 0 {
			k.ClusterTimestamp, k.NextID = app.ClusterTimestamp, max(k.NextID, app.ID)
		}
	}
	k.NextID += idsBeyond
	return k, nil
}

// rememberedKeyring returns this controller's copy of the keyring if it is of the version that is
// unreadable. If not, wait says whether the keyringRepairDelay is not over yet, in which another
// controller may repair it.
func (f *Frontend) rememberedKeyring(version uint64) (k keyring, remembered, wait bool) {
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

// applicationValues reads the records of all applications, the unfinished ones first.
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

// cachedKeyring returns the keyring as of the last read barrier, which the caller has made by
// reading an application. Heartbeats of several masters share a barrier; when each of them read
// the keyring from the store, they used up the store's rate limit at native users' expense.
func (f *Frontend) cachedKeyring(ctx context.Context) (keyring, error) {
	e := f.jobs.CachedApp(keysKey)
	if k, ok := f.decodeKeyring(e.Value, e.Version); ok {
		return k, nil
	}
	k, _, err := f.readKeyring(ctx)
	return k, err
}

// newApplicationID returns an id that no controller has issued before.
func (f *Frontend) newApplicationID(ctx context.Context) (clusterTimestamp int64, id int32, err error) {
	if clusterTimestamp, id, ok := f.takeFreeID(); ok {
		return clusterTimestamp, id, nil
	}
	err = retry(ctx, func() error {
		k, version, err := f.readKeyring(ctx)
		if err != nil {
			return err
		}
		id, clusterTimestamp = k.NextID, k.ClusterTimestamp
		k.NextID += idBlock
		return f.writeKeyring(ctx, k, version)
	})
	if err != nil {
		return 0, 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freeIDs.clusterTimestamp = clusterTimestamp
	for next := id + 1; next < id+idBlock; next++ {
		f.freeIDs.ids = append(f.freeIDs.ids, next)
	}
	return clusterTimestamp, id, nil
}

// takeFreeID takes an id of the blocks that this controller has taken; false if none is left.
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

// rollKey adds a signing key and drops the oldest beyond maxSigningKeys. Masters get tokens signed
// with the new key with their heartbeats, long before the older keys are dropped.
func (f *Frontend) rollKey(ctx context.Context) error {
	return retry(ctx, func() error {
		k, version, err := f.readKeyring(ctx)
		if err != nil {
			return err
		}
		key, err := newSigningKey(k.newestID() + 1)
		if err != nil {
			return err
		}
		k.Keys = append(k.Keys, key)
		k.Keys = k.Keys[max(0, len(k.Keys)-maxSigningKeys):]
		return f.writeKeyring(ctx, k, version)
	})
}
