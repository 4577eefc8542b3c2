// Package yarn lets clients that speak YARN's application API run their work on the same
// cluster as native jobs. An application's containers are tasks of reserved jobs
// (jobstore.Reservation): they are placed, counted, drained and preempted like all others.
//
// Frontend serves ApplicationClientProtocol, ApplicationMasterProtocol,
// ContainerManagementProtocol and the ResourceManager's REST interface at one controller.
// An application's state is in the key-value store, so that any controller may serve it. Only
// which containers were reported to a master is in the memory of the controller that serves it.
// docs/yarn.md explains the decisions behind this.
package yarn
