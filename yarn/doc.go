// Package yarn serves YARN's application API, so that YARN clients run applications on the same
// cluster as native jobs. The containers of an application are tasks of reserved jobs
// (jobstore.Reservation). They are placed, counted, drained and preempted like the tasks of
// native jobs.
//
// Frontend serves ApplicationClientProtocol, ApplicationMasterProtocol,
// ContainerManagementProtocol and the REST interface of the ResourceManager at one controller.
// The key-value store holds the state of each application, so any controller can serve it. Only
// the session of a master is in the memory of the controller to which the master is connected.
// The session records which containers were reported to the master.
//
// In comments, "master" means an ApplicationMaster. docs/yarn.md explains the design decisions.
package yarn
