// The keyring: the keys that sign tokens.

package yarn

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// keysKey is the store key of the keyring's record. It has the prefix of application records, so
// that the cache of the job store includes it (JobStore.CachedApp).
const keysKey = jobstore.AppPrefix + "keys"

// maxSigningKeys is the number of keys in the keyring. Tokens signed with an older key are refused.
const maxSigningKeys = 8

// signingKeyBytes is the size of a signing key.
const signingKeyBytes = 32

// keyring is the record of the signing keys and of the application ids taken by controllers.
type keyring struct {
	ClusterTimestamp int64        `msgpack:"ts"`   // part of every application's id
	NextID           int32        `msgpack:"next"` // the lowest application id that no controller has taken
	Keys             []signingKey `msgpack:"keys"` // the oldest first
}

// signingKey is an HMAC key. Hex encodes signingKeyBytes bytes.
type signingKey struct {
	ID  int    `msgpack:"id"`
	Hex string `msgpack:"k"`
}

func newSigningKey(id int) (signingKey, error) {
	b := make([]byte, signingKeyBytes)
	if _, err := rand.Read(b); err != nil {
		return signingKey{}, fmt.Errorf("yarn: %w", err)
	}
	return signingKey{ID: id, Hex: hex.EncodeToString(b)}, nil
}

// newestID returns the id of the key that signs new tokens, or 0 if there are no keys.
func (k *keyring) newestID() int {
	if len(k.Keys) == 0 {
		return 0
	}
	return k.Keys[len(k.Keys)-1].ID
}

// errKeyDropped is the error for a token whose signing key is not in the keyring.
var errKeyDropped = errors.New("signed with a key that is no longer kept")

// sign returns the HMAC-SHA256 of a text with the key that has the given id. It fails with
// errKeyDropped if the keyring has no such key.
func (k *keyring) sign(id int, text string) ([]byte, error) {
	for _, key := range k.Keys {
		if key.ID != id {
			continue
		}
		raw, err := hex.DecodeString(key.Hex)
		if err != nil {
			return nil, fmt.Errorf("yarn: key %d: %w", id, err)
		}
		mac := hmac.New(sha256.New, raw)
		mac.Write([]byte(text))
		return mac.Sum(nil), nil
	}
	return nil, errKeyDropped
}

// issue signs a token with the newest key. service is the address that accepts it.
func (k *keyring) issue(t token, service string) (*pb.TokenProto, error) {
	t.key = k.newestID()
	identifier := t.String()
	password, err := k.sign(t.key, identifier)
	if err != nil {
		return nil, err
	}
	kind := t.kind.yarnKind()
	return &pb.TokenProto{Identifier: []byte(identifier), Password: password, Kind: &kind, Service: &service}, nil
}
