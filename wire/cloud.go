// Messages of the cloud API.

package wire

// Types is the catalog of machine types that the cloud offers.
type Types struct {
	Types []MachineType `msgpack:"gammes"`
}

// MachineType describes one machine type of the catalog: its resources, prices and zones.
type MachineType struct {
	Name      string   `msgpack:"sku"`
	CPUs      float64  `msgpack:"cpus"`
	GPUs      float64  `msgpack:"gpus"`
	MemoryGB  float64  `msgpack:"memoryGb"`
	CacheGB   float64  `msgpack:"cacheGb"`    // size of the image cache
	FetchGBPS float64  `msgpack:"pullGbPerS"` // rate of fetching images, in GB per second
	Price     float64  `msgpack:"rate"`       // per hour
	SpotPrice float64  `msgpack:"lowPrice"`   // per hour, as a spot machine
	BootS     float64  `msgpack:"startupS"`   // boot time in seconds
	Zones     []string `msgpack:"halles"`     // zones that offer the type
}

// Rental asks the cloud to rent Count machines of one type in one zone. Repeating a request with the
// same RequestID returns the machines of the first one.
type Rental struct {
	RequestID string `msgpack:"bon"`
	Type      string `msgpack:"gamme"`
	Zone      string `msgpack:"halle"`
	Spot      bool   `msgpack:"pretes"`
	Count     int    `msgpack:"count"`
}

// Names lists machines by name.
type Names struct {
	Machines []string `msgpack:"postes"`
}

// Machine states in the cloud's list.
const (
	MachineBooting = "starting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// MachineList is one page of the cloud's list of machines. More reports that another page follows.
type MachineList struct {
	Machines []ListedMachine `msgpack:"postes"`
	More     bool            `msgpack:"hasNext"`
}

// ListedMachine is one machine in the cloud's list. State is one of the Machine constants. AgeS is the
// machine's age in seconds.
type ListedMachine struct {
	Name  string  `msgpack:"nameId"`
	Addr  string  `msgpack:"addr"`
	Type  string  `msgpack:"gamme"`
	Zone  string  `msgpack:"halle"`
	Spot  bool    `msgpack:"pretes"`
	State string  `msgpack:"etat"`
	AgeS  float64 `msgpack:"ageS"`
}
