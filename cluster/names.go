package cluster

import "github.com/umberdeal/umberdeal/wire"

// nameIndex finds zones, teams, machine types, machines and jobs by their names. Its values
// are indices into the slices of the model that hold them; an index is never reused.
type nameIndex struct {
	zones        map[string]int
	teams        map[string]int
	machineTypes map[string]int
	machines     map[string]int32
	jobs         map[string]int32 // only jobs that are in the model
}

func newNameIndex() nameIndex {
	return nameIndex{
		zones: map[string]int{}, teams: map[string]int{}, machineTypes: map[string]int{},
		machines: map[string]int32{}, jobs: map[string]int32{},
	}
}

// Job finds a job by its id; nil if it is not in the model.
func (m *Model) Job(id string) *Job {
	if i, ok := m.names.jobs[id]; ok {
		return m.Jobs[i]
	}
	return nil
}

// taskNamed finds a task by the name that it has on the wire. It returns a nil job if the
// model has no such task.
func (m *Model) taskNamed(name string) (j *Job, task int32) {
	id, n, ok := wire.ParseTaskName(name)
	if !ok {
		return nil, 0
	}
	j = m.Job(id)
	if j == nil || n >= len(j.Tasks) {
		return nil, 0
	}
	return j, int32(n)
}

// machineNamed finds a machine by its name; nil if the model has never heard of it.
func (m *Model) machineNamed(name string) *Machine {
	if i, ok := m.names.machines[name]; ok {
		return m.Machines[i]
	}
	return nil
}
