package main

import (
	"testing"

	"github.com/umberdeal/umberdeal/config"
)

// Commands run beside controllers that use up the key-value store's rates. `plan apply` sent as many changes
// as the store takes, and `job why` as many requests and changes, so that a command could take all
// that the controllers were about to send, the renewal of the leader's lease included.
func TestCommandsLeaveTheStoreToTheControllers(t *testing.T) {
	for _, limits := range []config.StateLimits{{RPS: 5, WriteRPS: 3}, {RPS: 200, WriteRPS: 25}, {RPS: 1000, WriteRPS: 90}} {
		s := &config.Settings{}
		s.Cluster.State = limits
		client := operatorClient(s)
		if got, most := client.RequestRate(), max(minOperatorRate, limits.RPS/10); got > most {
			t.Errorf("of %v requests a second a command sends %v", limits.RPS, got)
		}
		if got, most := client.WriteBurst(), int(max(minOperatorRate, limits.WriteRPS/10)); got > most {
			t.Errorf("of %v changes a second a command sends %v at once", limits.WriteRPS, got)
		}
	}
}
