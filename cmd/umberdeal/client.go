// The key-value store client of the commands.

package main

import (
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/kvstore"
)

const (
	// operatorRateShare is the share of the key-value store's rate limits that a command may use. The
	// rest is left to the running controllers.
	operatorRateShare = 0.1
	// minOperatorRate is the lowest limit of a command, in requests and in changes per second. It lets
	// the command complete within commandTimeout.
	minOperatorRate = 1.0
)

// operatorClient returns a client of a deployment's key-value store for a command. Its rate limits leave
// most of the store's capacity to the running controllers.
func operatorClient(s *config.Settings) *kvstore.Client {
	limits := s.Cluster.State
	return kvstore.New(call.Dialer(), s.Services.State, operatorRate(limits.RPS), operatorRate(limits.WriteRPS))
}

// operatorRate returns a command's share of a rate limit, and at least minOperatorRate.
func operatorRate(limit float64) float64 { return max(minOperatorRate, limit*operatorRateShare) }
