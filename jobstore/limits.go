// Limits of the key-value store on the sizes of transactions and values.

package jobstore

import "github.com/umberdeal/umberdeal/config"

const (
	defaultTxnOps   = 12
	defaultValueKiB = 16
	// maxPageBytes lets three pages fit into a transaction, whose limit is 64 KiB.
	maxPageBytes = 18 << 10
	// maxRecordBytes lets a job's record and a page fit into a transaction.
	maxRecordBytes = 44 << 10
	// pageReserve is left free in a value for the encoding around the entries.
	pageReserve = 256
	// guardsPerOp is how many guards the key-value store allows in a transaction for each op it allows.
	guardsPerOp = 4
)

// Limits are the key-value store's limits on a transaction. A value of 0 or less means the default.
type Limits struct {
	MaxTxnOps   int     // puts and deletes of a transaction
	MaxValueKiB float64 // largest value, in KiB
}

// LimitsOf returns the limits that the settings give.
func LimitsOf(settings config.StateLimits) Limits {
	return Limits{MaxTxnOps: settings.TxnOps, MaxValueKiB: settings.ValueKB}
}

// TxnOps returns how many puts and deletes a transaction may have.
func (l Limits) TxnOps() int {
	if l.MaxTxnOps <= 0 {
		return defaultTxnOps
	}
	return l.MaxTxnOps
}

// Guards returns how many guards a transaction may have.
func (l Limits) Guards() int { return guardsPerOp * l.TxnOps() }

// ValueBytes returns how large a value may be, in bytes as the key-value store counts them.
func (l Limits) ValueBytes() int {
	kib := l.MaxValueKiB
	if kib <= 0 {
		kib = defaultValueKiB
	}
	return int(kib * 1024)
}

// recordBytes returns how large the record of a job may be.
func (l Limits) recordBytes() int { return min(l.ValueBytes(), maxRecordBytes) }

// maxJobs returns how many jobs a transaction can add with guardsPerJob guards for each. The head page
// and the schema need one further guard each.
func (l Limits) maxJobs(guardsPerJob int) int {
	return (l.Guards() - 2) / guardsPerJob
}

// pageBytes returns how large a page may be.
func (l Limits) pageBytes() int {
	return min(l.ValueBytes(), maxPageBytes) - pageReserve
}
