// Remote exceptions: errors by which clients and servers of Hadoop RPC communicate.

package wire

import (
	"errors"
	"fmt"
)

// ExceptionClass is the name of a Java exception class. Clients of Hadoop RPC distinguish errors by
// it.
type ExceptionClass string

// Exception classes of Hadoop and YARN.
const (
	ClassRuntime      ExceptionClass = "java.lang.RuntimeException"
	ClassUnsupported  ExceptionClass = "java.lang.UnsupportedOperationException"
	ClassRetriable    ExceptionClass = "org.apache.hadoop.ipc.RetriableException"
	ClassStandby      ExceptionClass = "org.apache.hadoop.ipc.StandbyException"
	ClassAccess       ExceptionClass = "org.apache.hadoop.security.AccessControlException"
	ClassInvalidToken ExceptionClass = "org.apache.hadoop.security.token.SecretManager$InvalidToken"
	ClassNoMethod     ExceptionClass = "org.apache.hadoop.ipc.RpcNoSuchMethodException"
	ClassNoProtocol   ExceptionClass = "org.apache.hadoop.ipc.RpcNoSuchProtocolException"
	ClassServer       ExceptionClass = "org.apache.hadoop.ipc.RpcServerException"
	ClassVersion      ExceptionClass = "org.apache.hadoop.ipc.RPC$VersionMismatch"
	ClassYarn         ExceptionClass = "org.apache.hadoop.yarn.exceptions.YarnException"
	ClassNoApp        ExceptionClass = "org.apache.hadoop.yarn.exceptions.ApplicationNotFoundException"
	ClassNoAttempt    ExceptionClass = "org.apache.hadoop.yarn.exceptions.ApplicationAttemptNotFoundException"
	ClassNotReg       ExceptionClass = "org.apache.hadoop.yarn.exceptions.ApplicationMasterNotRegisteredException"
	ClassBadRequest   ExceptionClass = "org.apache.hadoop.yarn.exceptions.InvalidResourceRequestException"
	ClassBadMaster    ExceptionClass = "org.apache.hadoop.yarn.exceptions.InvalidApplicationMasterRequestException"
	ClassBadRelease   ExceptionClass = "org.apache.hadoop.yarn.exceptions.InvalidContainerReleaseException"
	ClassNoContainer  ExceptionClass = "org.apache.hadoop.yarn.exceptions.ContainerNotFoundException"
)

// Error is a remote exception: the answer of a server to a failed call.
type Error struct {
	Class ExceptionClass
	Text  string
}

// Error returns the class and the text.
func (e *Error) Error() string { return string(e.Class) + ": " + e.Text }

// Errorf returns an *Error with a formatted text.
func Errorf(class ExceptionClass, format string, args ...any) error {
	return &Error{Class: class, Text: fmt.Sprintf(format, args...)}
}

// AsError returns the *Error in err's chain. If there is none, it returns an *Error with
// ClassRetriable and err's text, so that the client retries.
func AsError(err error) *Error {
	var remote *Error
	if errors.As(err, &remote) {
		return remote
	}
	return &Error{Class: ClassRetriable, Text: err.Error()}
}

// IsClass reports whether err's chain contains an *Error of the given class.
func IsClass(err error, class ExceptionClass) bool {
	var remote *Error
	return errors.As(err, &remote) && remote.Class == class
}
