package cluster

import "github.com/umberdeal/umberdeal/wire"

// nameIndex maps the names of zones, teams, machine types, machines and jobs to their indices
// in the model's slices. An index is never reused.
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

// Job returns the job with the given id, or nil if it is not in the model.
func (m *Model) Job(id string) *Job {
	if i, ok := m.names.jobs[id]; ok {
		return m.Jobs[i]
	}
	return nil
}

// taskNamed returns the job and task number of a task name of the wire protocol. The job is nil
// if the model has no such task.
func (m *Model) taskNamed(name string) (j *Job, task int32) {
	id, number, ok := wire.ParseTaskName(name)
	if !ok {
		return nil, 0
	}
	j = m.Job(id)
	if j == nil || number >= len(j.Tasks) {
		return nil, 0
	}
	return j, int32(number)
}

// machineNamed returns the machine with the given name, or nil if the model never had one.
func (m *Model) machineNamed(name string) *Machine {
	if i, ok := m.names.machines[name]; ok {
		return m.Machines[i]
	}
	return nil
}
