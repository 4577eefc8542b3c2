package wire

// This file has the messages of the key-value store (the state service).

// Entry is one key with its value.
type Entry struct {
	Key      string `msgpack:"path"`
	Value    Raw    `msgpack:"v"`
	Version  uint64 `msgpack:"mouture"`
	Lease    uint64 `msgpack:"bail"`
	Revision uint64 `msgpack:"registre"` // the store's; set only if the key does not exist
}

// Listing is one page of keys.
type Listing struct {
	Items    []Entry `msgpack:"entries"`
	More     bool    `msgpack:"hasNext"`
	Revision uint64  `msgpack:"registre"`
}

// Guard is one condition of a transaction: a key has this version; 0: it does not exist.
type Guard struct {
	Key     string `msgpack:"path"`
	Version uint64 `msgpack:"mouture"`
}

// Op is one change of a transaction: a put or a delete.
type Op struct {
	Put    string `msgpack:"set,omitempty"`
	Value  any    `msgpack:"v,omitempty"`
	Lease  uint64 `msgpack:"bail,omitempty"`
	Delete string `msgpack:"remove,omitempty"`
}

// Txn is a compare-and-swap: the changes are made if all conditions hold.
type Txn struct {
	If   []Guard `msgpack:"guards"`
	Then []Op    `msgpack:"apply,omitempty"`
}

// TxnAnswer answers a transaction.
type TxnAnswer struct {
	Revision uint64   `msgpack:"registre"`
	Failed   []string `msgpack:"failed"`
	Error    string   `msgpack:"error"`
}

// NewLease asks for a lease.
type NewLease struct {
	TTLMs int64 `msgpack:"lifeMs"`
}

// LeaseAnswer names a lease.
type LeaseAnswer struct {
	Lease uint64 `msgpack:"bail"`
}

// Events answers a watch.
type Events struct {
	Revision uint64  `msgpack:"registre"`
	Log      []Event `msgpack:"log"`
}

// Event is one change of a key.
type Event struct {
	Put     string `msgpack:"set"`
	Delete  string `msgpack:"remove"`
	Value   Raw    `msgpack:"v"`
	Version uint64 `msgpack:"mouture"`
}
