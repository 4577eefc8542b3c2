package peerrpc

import "github.com/umberdeal/umberdeal/routing"

// serviceName and the names of service's methods are part of the protocol.
const serviceName = "Mesh"

// Request is a worker's heartbeat, a user's request or a question of another node. Body
// is as it came from the worker or user.
type Request struct {
	Op   string // of a user's request
	ID   string // of a job, or the key of a record to be recovered
	Body []byte

	From         string  // the node that asks; of a user's request: that has passed it on to its bucket's node
	ConnCapacity int     // how many workers' connections that node keeps
	SinceAnswerS float64 // of a heartbeat: seconds since the worker's last answer at that node; negative if not known

	UnreadableKey     string // of a status: a record that the node that asks can't read; of a recovery: where the record stood before
	UnreadableVersion uint64 // in which version
	Version           uint64 // of a recovery: the version of the record ID
}

// Answer is the response to a heartbeat, a user's request or a recovery. It has the
// same form on the wire, so that its fields keep their names.
type Answer struct {
	Status     int // as in HTTP
	Body       []byte
	RetryAfter int  // in seconds; 0: not said
	Repeated   bool // of a heartbeat that had been answered before: nobody may wait for this answer
}

// Status is what a node says of itself.
type Status struct {
	Node           string
	Leader         string
	StoreReachable bool
	Plan           *routing.Plan // of the leader: where workers send heartbeats
	SchemaVersion  int           // the newest schema of records that the node reads
}

// RequestMessage is a Request on the wire. gob matches the names of its fields.
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

// StatusMessage is a Status on the wire. gob matches the names of its fields.
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
