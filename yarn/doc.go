// Package yarn lets clients that speak YARN's application API run their work on the same
// cluster as native jobs. An application's containers are tasks of reserved jobs
// (jobstore.Reservation): they are placed, counted, drained and preempted like all others.
//
// Frontend serves ApplicationClientProtocol, ApplicationMasterProtocol,
// ContainerManagementProtocol and the ResourceManager's REST interface at one controller.
// An application's state is in the key-value store, so that any controller may serve it. Only
// a master's session, with the containers that were reported to it, is in the memory of the
// controller to which it is connected. In comments, "master" is an ApplicationMaster.
// docs/yarn.md explains the decisions behind this.
package yarn
