// Package yarn lets clients that speak YARN's application API run their work on the same
// cluster as native jobs. An application's containers are tasks of reserved jobs
// (jobstore.Reservation): they are placed, counted, drained and preempted like all others.
//
// Frontend serves ApplicationClientProtocol, ApplicationMasterProtocol,
// ContainerManagementProtocol and the ResourceManager's REST interface at one controller.
// What is known of an application is in the key-value store, so that any controller may serve
// it; only what a master has been told is in the memory of the controller that it talks to.
// docs/yarn.md explains the decisions behind this.
package yarn
