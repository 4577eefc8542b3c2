package wire

// This file has the messages of the cloud.

// Types is the cloud's catalogue.
type Types struct {
	Types []MachineType `msgpack:"gammes"`
}

// MachineType is one entry of the catalogue.
type MachineType struct {
	Name       string   `msgpack:"sku"`
	CPUs       float64  `msgpack:"cpus"`
	GPUs       float64  `msgpack:"gpus"`
	MemoryGB   float64  `msgpack:"memoryGb"`
	CacheGB    float64  `msgpack:"cacheGb"`
	FetchGBPS  float64  `msgpack:"pullGbPerS"`
	Price      float64  `msgpack:"rate"`
	SpotPrice  float64  `msgpack:"lowPrice"`
	BootS      float64  `msgpack:"startupS"`
	ZonesNamed []string `msgpack:"halles"`
}

// Rental asks the cloud for machines.
type Rental struct {
	Request string `msgpack:"bon"`
	Type    string `msgpack:"gamme"`
	Zone    string `msgpack:"halle"`
	Spot    bool   `msgpack:"pretes"`
	Count   int    `msgpack:"count"`
}

// Names is a list of machine names.
type Names struct {
	Machines []string `msgpack:"postes"`
}

// Machine states in the cloud's list.
const (
	MachineBooting = "starting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// MachineList is one page of the cloud's list.
type MachineList struct {
	Machines []ListedMachine `msgpack:"postes"`
	More     bool            `msgpack:"hasNext"`
}

// ListedMachine is one machine as the cloud lists it.
type ListedMachine struct {
	Name  string  `msgpack:"nameId"`
	Addr  string  `msgpack:"addr"`
	Type  string  `msgpack:"gamme"`
	Zone  string  `msgpack:"halle"`
	Spot  bool    `msgpack:"pretes"`
	State string  `msgpack:"etat"`
	AgeS  float64 `msgpack:"ageS"`
}
