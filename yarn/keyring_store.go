package yarn

import (
	"context"
	"time"

	nwire "github.com/umberdeal/umberdeal/wire"
)

// applicationIDs are ids that this controller may hand out: no other one does.
type applicationIDs struct {
	clusterTimestamp int64
	ids              []int32
}

// idBlock is the number of ids that a controller takes at once.
const idBlock = 50

// keyringCache is what a controller remembers of the keyring, for the case that its record
// becomes unreadable.
type keyringCache struct {
	last        keyring // as last read, in the version lastVersion
	lastVersion uint64

	badVersion uint64 // the version that could not be read
	badSince   time.Time
}

const (
	// keyringRepairDelay is how long an unreadable keyring is left to whoever remembers it:
	// another controller, or a leader that takes over and asks all controllers.
	keyringRepairDelay = 20 * time.Second
	// idsBeyond is more than the number of ids that were handed out and not used.
	idsBeyond = 1 << 20
)

// readKeyring reads the keyring from the store. The first controller that needs it creates
// it, and one that is unreadable is repaired.
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

// decodeKeyring decodes the keyring, and remembers it.
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

// repairedKeyring returns what replaces a keyring that is unreadable: what this controller has
// read of the same version, or one without keys. The latter's ids are beyond all that were
// handed out, as far as applications tell; masters' tokens are refused then, and their
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

// rememberedKeyring returns the keyring of an unreadable version if this controller has read
// it. wait is true for as long as another controller may have.
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

// cachedKeyring returns the keyring as of the caller's last read barrier. Masters' heartbeats
// share barriers; with a read of its own for each of them, they took the store's rate limit
// away from native users.
func (f *Frontend) cachedKeyring(ctx context.Context) (keyring, error) {
	e := f.jobs.CachedApp(keysKey)
	if k, ok := f.decodeKeyring(e.Value, e.Version); ok {
		return k, nil
	}
	k, _, err := f.readKeyring(ctx)
	return k, err
}

// newApplicationID returns an id that no controller has handed out before.
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

// takeFreeID takes an id of the block that was read last.
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

// rollKey adds a signing key. The older ones are valid for a while, in which masters that
// heartbeat get a token that is signed with the new one.
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
