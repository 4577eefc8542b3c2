package main

import (
	"testing"

	"github.com/umberdeal/umberdeal/config"
)

// Commands run at the same time as controllers that use the key-value store up to its rate limits. `plan
// apply` used the store's whole limit of changes, and `job why` the limits of both requests and changes. A
// command could therefore block the controllers, including the renewal of the leader's lease.
func TestCommandsLeaveTheStoreToTheControllers(t *testing.T) {
	for _, limits := range []config.StateLimits{{RPS: 5, WriteRPS: 3}, {RPS: 200, WriteRPS: 25}, {RPS: 1000, WriteRPS: 90}} {
		s := &config.Settings{}
		s.Cluster.State = limits
		client := operatorClient(s)
		if got, most := client.RequestRate(), max(minOperatorRate, limits.RPS/10); got > most {
			t.Errorf("of %v requests per second a command may send %v, want at most %v", limits.RPS, got, most)
		}
		if got, most := client.WriteBurst(), int(max(minOperatorRate, limits.WriteRPS/10)); got > most {
			t.Errorf("of %v changes per second a command may send %v at once, want at most %v", limits.WriteRPS, got, most)
		}
	}
}
