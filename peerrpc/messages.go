// Messages between controller nodes, and their wire forms.

package peerrpc

import "github.com/umberdeal/umberdeal/routing"

// serviceName is the name of the net/rpc service. This name and the method names of type
// service are part of the protocol. They must not change, even where the rest of the code
// uses other terms.
const serviceName = "Mesh"

// Request is a request from another node: a forwarded heartbeat of a worker, a forwarded
// request of a user, a status query or the recovery of an unreadable record. Each kind
// uses only some of the fields. Body is the body that the worker or user sent, unchanged.
type Request struct {
	Op   string // user's request: the operation
	ID   string // user's request: the job; recovery: the key of the record
	Body []byte

	From         string  // sending node; among users' requests, set only in those to a bucket's owner
	ConnCapacity int     // status: number of worker connections that From can hold
	SinceAnswerS float64 // heartbeat: seconds since From last answered the worker; negative if unknown

	UnreadableKey     string // status: key of a record that From can't decode; recovery: the record's original key
	UnreadableVersion uint64 // version of UnreadableKey
	Version           uint64 // recovery: version of the record at key ID
}

// Answer is the response to a heartbeat, a user's request or a recovery. gob encodes it
// directly, so its field names are part of the protocol.
type Answer struct {
	Status     int // HTTP status code
	Body       []byte
	RetryAfter int  // seconds; 0 if not set
	Repeated   bool // response to a duplicate heartbeat; does not show that the worker receives answers
}

// Status is the state of a node, as it reports it to another node.
type Status struct {
	Node           string
	Leader         string // name of the leader that the node knows; "" if none
	StoreReachable bool
	Plan           *routing.Plan // distribution of workers over the nodes; set only by the leader
	SchemaVersion  int           // newest schema of stored records that the node accepts
}

// RequestMessage is the wire form of Request. gob matches fields by name, so the names
// must not change.
type RequestMessage struct {
	Op   string
	ID   string
	Body []byte

	From string
	Room int
	AgoS float64

	Lost   string
	LostAt uint64
	At     uint64
}

func (r *Request) message() RequestMessage {
	return RequestMessage{
		Op: r.Op, ID: r.ID, Body: r.Body,
		From: r.From, Room: r.ConnCapacity, AgoS: r.SinceAnswerS,
		Lost: r.UnreadableKey, LostAt: r.UnreadableVersion, At: r.Version,
	}
}

func (m *RequestMessage) request() Request {
	return Request{
		Op: m.Op, ID: m.ID, Body: m.Body,
		From: m.From, ConnCapacity: m.Room, SinceAnswerS: m.AgoS,
		UnreadableKey: m.Lost, UnreadableVersion: m.LostAt, Version: m.At,
	}
}

// StatusMessage is the wire form of Status. gob matches fields by name, so the names
// must not change.
type StatusMessage struct {
	Node    string
	Leader  string
	StateOK bool
	Plan    *routing.Plan
	Form    int
}

func (s *Status) message() StatusMessage {
	return StatusMessage{Node: s.Node, Leader: s.Leader, StateOK: s.StoreReachable, Plan: s.Plan, Form: s.SchemaVersion}
}

func (m *StatusMessage) status() Status {
	return Status{Node: m.Node, Leader: m.Leader, StoreReachable: m.StateOK, Plan: m.Plan, SchemaVersion: m.Form}
}
