package main

import (
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/kvstore"
)

const (
	// operatorRateShare is the share of the key-value store's rates that a command uses beside running
	// controllers: the rest is theirs.
	operatorRateShare = 0.1
	// minOperatorRate is how many requests and changes per second a command may send in any case, so
	// that it ends within its time.
	minOperatorRate = 1.0
)

// operatorClient returns a client of a deployment's key-value store for a command that runs beside
// its controllers.
func operatorClient(s *config.Settings) *kvstore.Client {
	limits := s.Cluster.State
	return kvstore.New(call.Dialer(), s.Services.State, operatorRate(limits.RPS), operatorRate(limits.WriteRPS))
}

// operatorRate returns a command's share of a rate.
func operatorRate(limit float64) float64 { return max(minOperatorRate, limit*operatorRateShare) }
