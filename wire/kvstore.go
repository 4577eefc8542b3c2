// Messages of the key-value store (the state service).

package wire

// Entry is one key with its value. Version is the store's revision at the last change of the
// key, and 0 if the key does not exist. Lease is the lease that the key is bound to, or 0.
type Entry struct {
	Key      string `msgpack:"path"`
	Value    Raw    `msgpack:"v"`
	Version  uint64 `msgpack:"mouture"`
	Lease    uint64 `msgpack:"bail"`
	Revision uint64 `msgpack:"registre"` // of the whole store; set only if the key does not exist
}

// Listing is one page of keys, as of one revision of the store. More reports that another page follows.
type Listing struct {
	Items    []Entry `msgpack:"entries"`
	More     bool    `msgpack:"hasNext"`
	Revision uint64  `msgpack:"registre"`
}

// Guard is one condition of a transaction: the key has this version. Version 0 requires that the
// key does not exist.
type Guard struct {
	Key     string `msgpack:"path"`
	Version uint64 `msgpack:"mouture"`
}

// Size returns an upper bound of the bytes that the store counts for the condition.
func (g Guard) Size() int {
	return len(`{"path":"mouture":},`) + JSONTextSize(g.Key) + jsonLongest
}

// Op is one change of a transaction. Either Put or Delete is set. Put names a key that gets Value and is
// bound to Lease, or to no lease if Lease is 0. Delete names a key to delete.
type Op struct {
	Put    string `msgpack:"set,omitempty"`
	Value  any    `msgpack:"v,omitempty"`
	Lease  uint64 `msgpack:"bail,omitempty"`
	Delete string `msgpack:"remove,omitempty"`
}

// Size returns an upper bound of the bytes that the store counts for the change if its value takes
// valueBytes. JSONSize returns the size of an encoded value.
func (o Op) Size(valueBytes int) int {
	return len(`{"set":"v":,"bail":"remove":},`) + JSONTextSize(o.Put) + JSONTextSize(o.Delete) + jsonLongest + valueBytes
}

// Txn is a compare-and-swap. The store applies all changes if all conditions hold, and none
// otherwise.
type Txn struct {
	If   []Guard `msgpack:"guards"`
	Then []Op    `msgpack:"apply,omitempty"`
}

// TxnAnswer answers a transaction. Revision is the store's revision. Failed lists the keys whose
// conditions did not hold. Error is the reason why the store rejected an invalid transaction.
type TxnAnswer struct {
	Revision uint64   `msgpack:"registre"`
	Failed   []string `msgpack:"failed"`
	Error    string   `msgpack:"error"`
}

// NewLease requests a lease that expires TTLMs milliseconds after its last renewal.
type NewLease struct {
	TTLMs int64 `msgpack:"lifeMs"`
}

// LeaseAnswer answers NewLease with the id of the new lease.
type LeaseAnswer struct {
	Lease uint64 `msgpack:"bail"`
}

// Events answers a watch with the changes up to Revision.
type Events struct {
	Revision uint64  `msgpack:"registre"`
	Log      []Event `msgpack:"log"`
}

// Event is one change of a key. Either Put or Delete names the key. Value is the new value after Put.
// Version is the revision of the change.
type Event struct {
	Put     string `msgpack:"set"`
	Delete  string `msgpack:"remove"`
	Value   Raw    `msgpack:"v"`
	Version uint64 `msgpack:"mouture"`
}
