// Limits of the key-value store on the sizes of transactions and values.

package jobstore

const (
	defaultTxnOps  = 12
	defaultValueKB = 16
	// maxPageBytes lets three pages fit into a transaction, whose limit is 64 KiB.
	maxPageBytes = 18 << 10
	// pageReserve is left free in a value for the encoding around the entries.
	pageReserve = 256
	// guardsPerOp is how many guards the key-value store allows in a transaction for each op it allows.
	guardsPerOp = 4
)

// Limits are the key-value store's limits on a transaction. A value of 0 or less means the default.
type Limits struct {
	TxnOps  int     // puts and deletes of a transaction; it may have guardsPerOp times as many guards
	ValueKB float64 // largest value, in KiB
}

// txnOps returns how many puts and deletes a transaction may have.
func (l Limits) txnOps() int {
	if l.TxnOps <= 0 {
		return defaultTxnOps
	}
	return l.TxnOps
}

// valueBytes returns how large a value may be.
func (l Limits) valueBytes() int {
	kb := l.ValueKB
	if kb <= 0 {
		kb = defaultValueKB
	}
	return int(kb * 1024)
}

// maxJobs returns how many jobs a transaction can add with guardsPerJob guards for each. The head page
// and the schema need one further guard each.
func (l Limits) maxJobs(guardsPerJob int) int {
	return (guardsPerOp*l.txnOps() - 2) / guardsPerJob
}

// pageBytes returns how large a page may be.
func (l Limits) pageBytes() int {
	return min(l.valueBytes(), maxPageBytes) - pageReserve
}
