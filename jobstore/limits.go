package jobstore

const (
	defaultTxnOps  = 12
	defaultValueKB = 16
	// maxPageBytes lets three pages fit into a transaction, which takes 64 KiB.
	maxPageBytes = 18 << 10
	// pageReserve is left free in a value for what surrounds the entries.
	pageReserve = 256
	// guardsPerOp is how many conditions the key-value store takes for each change.
	guardsPerOp = 4
)

// Limits are the key-value store's limits on a transaction. Values that are not positive stand for
// the defaults.
type Limits struct {
	TxnOps  int     // puts and deletes; guardsPerOp times as many conditions
	ValueKB float64 // KiB of a value
}

// txnOps is how many changes a transaction takes.
func (l Limits) txnOps() int {
	if l.TxnOps <= 0 {
		return defaultTxnOps
	}
	return l.TxnOps
}

// valueBytes is how large a value may be.
func (l Limits) valueBytes() int {
	kb := l.ValueKB
	if kb <= 0 {
		kb = defaultValueKB
	}
	return int(kb * 1024)
}

// maxJobs is how many jobs a transaction can take that has so many conditions for each; the head page
// and the schema have one each.
func (l Limits) maxJobs(guardsPerJob int) int {
	return (guardsPerOp*l.txnOps() - 2) / guardsPerJob
}

// pageBytes is how large a page may be.
func (l Limits) pageBytes() int {
	return min(l.valueBytes(), maxPageBytes) - pageReserve
}
