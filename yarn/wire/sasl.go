// SASL authentication with tokens, as Hadoop uses it.

package wire

import (
	"crypto/hmac"
	"crypto/md5"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
)

// Parameters of SASL DIGEST-MD5 (RFC 2831) in the only form that Hadoop's tokens use. Username and
// password are the token's identifier and password in base64. The realm is "default", and the
// quality of protection is authentication only.
const (
	saslMethodToken  = "TOKEN"
	saslMethodSimple = "SIMPLE"
	saslMechanism    = "DIGEST-MD5"
	saslRealm        = "default"
	saslURI          = "/default"
	saslNonceCount   = "00000001" // each nonce is used once
)

// Method parameter of the digests in the client's response and in the server's proof.
const (
	clientDigestMethod = "AUTHENTICATE"
	serverDigestMethod = ""
)

// ErrAuth is the error of a failed authentication.
var ErrAuth = errors.New("yarn: not authenticated")

const nonceBytes = 24

// newNonce returns nonceBytes random bytes in base64. The server uses it for its nonce, and the client
// for its cnonce.
func newNonce() (string, error) {
	b := make([]byte, nonceBytes)
	if _, err := rand.Read(b); err != nil {
		return "", fmt.Errorf("yarn: %w", err)
	}
	return base64.StdEncoding.EncodeToString(b), nil
}

// challenge returns the server's digest-challenge.
func challenge(nonce string) []byte {
	return []byte(fmt.Sprintf(`realm="%s",nonce="%s",qop="auth",charset=utf-8,algorithm=md5-sess`, saslRealm, nonce))
}

// digest contains the inputs of a response value. The names are those of RFC 2831.
type digest struct {
	username, realm, password string
	nonce, cnonce, nonceCount string
	uri                       string
}

// response returns the response value. It proves knowledge of the password.
func (d *digest) response(method string) string {
	a1 := string(md5Sum(d.username+":"+d.realm+":"+d.password)) + ":" + d.nonce + ":" + d.cnonce
	a2 := method + ":" + d.uri
	return hexMD5(hexMD5(a1) + ":" + d.nonce + ":" + d.nonceCount + ":" + d.cnonce + ":auth:" + hexMD5(a2))
}

func md5Sum(s string) []byte {
	sum := md5.Sum([]byte(s))
	return sum[:]
}

func hexMD5(s string) string { return hex.EncodeToString(md5Sum(s)) }

// serverProof returns the message that proves the server's knowledge of the password.
func (d *digest) serverProof() string { return "rspauth=" + d.response(serverDigestMethod) }

// errMalformedDirectives is the error for input that is not a list of key=value pairs.
var errMalformedDirectives = fmt.Errorf("%w: malformed directives", ErrAuth)

// parseDirectives parses comma-separated key=value pairs with quoted or plain values. It fails with
// ErrAuth if the input is malformed or a key occurs twice.
func parseDirectives(b []byte) (map[string]string, error) {
	out := map[string]string{}
	s := string(b)
	for s != "" {
		key, rest, ok := strings.Cut(s, "=")
		key = strings.ToLower(strings.TrimSpace(strings.TrimLeft(key, ", ")))
		if !ok || key == "" || out[key] != "" {
			return nil, errMalformedDirectives
		}
		value, rest, err := cutDirectiveValue(rest)
		if err != nil {
			return nil, err
		}
		out[key] = value
		s = strings.TrimLeft(rest, ", ")
	}
	return out, nil
}

// cutDirectiveValue returns the value at the beginning of s, unquoted, and the rest of s.
func cutDirectiveValue(s string) (value, rest string, err error) {
	if !strings.HasPrefix(s, `"`) {
		plain, _, _ := strings.Cut(s, ",")
		return strings.TrimSpace(plain), s[len(plain):], nil
	}
	var unquoted strings.Builder
	i := 1
	for ; i < len(s) && s[i] != '"'; i++ {
		if s[i] == '\\' && i+1 < len(s) {
			i++
		}
		unquoted.WriteByte(s[i])
	}
	if i >= len(s) {
		return "", "", errMalformedDirectives
	}
	return unquoted.String(), s[i+1:], nil
}

func quote(s string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(s) + `"`
}

// answerChallenge returns the client's digest-response to a challenge, and the proof that the
// server's answer must contain.
func answerChallenge(challenge, identifier, password []byte) (response []byte, expected string, err error) {
	directives, err := parseDirectives(challenge)
	if err != nil {
		return nil, "", err
	}
	if directives["nonce"] == "" {
		return nil, "", fmt.Errorf("%w: no nonce", ErrAuth)
	}
	cnonce, err := newNonce()
	if err != nil {
		return nil, "", err
	}
	d := digest{
		username:   base64.StdEncoding.EncodeToString(identifier),
		realm:      saslRealm,
		password:   base64.StdEncoding.EncodeToString(password),
		nonce:      directives["nonce"],
		cnonce:     cnonce,
		nonceCount: saslNonceCount,
		uri:        saslURI,
	}
	out := fmt.Sprintf(`charset=utf-8,username=%s,realm="%s",nonce=%s,nc=%s,cnonce=%s,digest-uri="%s",maxbuf=65536,response=%s,qop=auth`,
		quote(d.username), d.realm, quote(d.nonce), d.nonceCount, quote(d.cnonce), d.uri, d.response(clientDigestMethod))
	return []byte(out), d.serverProof(), nil
}

// passwordLookup returns the password of a token. An *Error means that the token is not valid. With
// any other error it is unknown whether the token is valid.
type passwordLookup func(identifier []byte) ([]byte, error)

// verifyResponse checks a client's digest-response to the challenge with the given nonce. It
// returns the token's identifier and the server's proof. It fails with ErrAuth if the response is
// not valid, and with another error if the lookup of the password fails.
func verifyResponse(response []byte, nonce string, password passwordLookup) (identifier, proof []byte, err error) {
	directives, err := parseDirectives(response)
	if err != nil {
		return nil, nil, err
	}
	identifier, err = base64.StdEncoding.DecodeString(directives["username"])
	if err != nil || len(identifier) == 0 {
		return nil, nil, fmt.Errorf("%w: no token", ErrAuth)
	}
	if !matchesChallenge(directives, nonce) {
		return nil, nil, fmt.Errorf("%w: the response is to another challenge", ErrAuth)
	}
	secret, err := password(identifier)
	if err != nil {
		var invalid *Error
		if !errors.As(err, &invalid) {
			return nil, nil, err // it is unknown whether the token is valid
		}
		return nil, nil, fmt.Errorf("%w: %v", ErrAuth, err) //nolint:errorlint // callers answer ErrAuth, not the class of the cause
	}
	d := digest{
		username:   directives["username"],
		realm:      saslRealm,
		password:   base64.StdEncoding.EncodeToString(secret),
		nonce:      nonce,
		cnonce:     directives["cnonce"],
		nonceCount: directives["nc"],
		uri:        saslURI,
	}
	if !hmac.Equal([]byte(d.response(clientDigestMethod)), []byte(strings.ToLower(directives["response"]))) {
		return nil, nil, fmt.Errorf("%w: wrong password", ErrAuth)
	}
	return identifier, []byte(d.serverProof()), nil
}

// matchesChallenge reports whether a response belongs to the challenge with this nonce.
func matchesChallenge(directives map[string]string, nonce string) bool {
	return directives["nonce"] == nonce && directives["realm"] == saslRealm && directives["qop"] == "auth" &&
		directives["nc"] == saslNonceCount && directives["digest-uri"] == saslURI && directives["cnonce"] != ""
}
