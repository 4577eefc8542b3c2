// Token identifiers: their kinds, encoding and parsing.

package yarn

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// tokenKind is the purpose of a token. It is the first part of the token's identifier.
type tokenKind string

const (
	masterToken    tokenKind = "am" // authenticates calls of ApplicationMasterProtocol
	nodeToken      tokenKind = "nm" // authenticates calls of ContainerManagementProtocol
	containerToken tokenKind = "ct" // authorizes the start of one container
)

// Kinds of tokens in YARN's API.
const (
	yarnMasterTokenKind    = "YARN_AM_RM_TOKEN"
	yarnNodeTokenKind      = "NMToken"
	yarnContainerTokenKind = "ContainerToken"
)

// yarnKind returns the corresponding kind of YARN's API.
func (k tokenKind) yarnKind() string {
	switch k {
	case masterToken:
		return yarnMasterTokenKind
	case nodeToken:
		return yarnNodeTokenKind
	}
	return yarnContainerTokenKind
}

// token is the content of a token's identifier. key is the id of the signing key. container is the
// number of the container that a containerToken starts, and 0 for other kinds.
type token struct {
	kind             tokenKind
	clusterTimestamp int64
	application      int32
	attempt          int32
	key              int
	container        int64
}

// String returns the token's identifier.
func (t token) String() string {
	return fmt.Sprintf("%s/%d/%d/%d/%d/%d", t.kind, t.clusterTimestamp, t.application, t.attempt, t.key, t.container)
}

// errForeignToken is the error for an identifier that this service can't have issued.
var errForeignToken = errors.New("not a token of this service")

// parseToken parses an identifier. It fails for any text that String does not return.
func parseToken(identifier []byte) (token, error) {
	parts := strings.Split(string(identifier), "/")
	var numbers [5]int64
	if len(parts) != 1+len(numbers) {
		return token{}, errForeignToken
	}
	for i := range numbers {
		var err error
		if numbers[i], err = strconv.ParseInt(parts[i+1], 10, 64); err != nil {
			return token{}, errForeignToken
		}
	}
	t := token{
		kind:             tokenKind(parts[0]),
		clusterTimestamp: numbers[0],
		application:      int32(numbers[1]),
		attempt:          int32(numbers[2]),
		key:              int(numbers[3]),
		container:        numbers[4],
	}
	if t.String() != string(identifier) {
		return token{}, errForeignToken
	}
	return t, nil
}
