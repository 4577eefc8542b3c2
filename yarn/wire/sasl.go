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

// This file is SASL's DIGEST-MD5 (RFC 2831) in the one form that Hadoop's tokens
// use: user and password are the token's identifier and password in base64, the
// realm is "default", and only authentication is asked for.

const (
	saslMethod    = "TOKEN"
	saslMechanism = "DIGEST-MD5"
	saslRealm     = "default"
	saslURI       = "/default"
)

// ErrAuth says that a token was not accepted.
var ErrAuth = errors.New("yarn: not authenticated")

func nonce() (string, error) {
	b := make([]byte, 24)
	if _, err := rand.Read(b); err != nil {
		return "", fmt.Errorf("yarn: %w", err)
	}
	return base64.StdEncoding.EncodeToString(b), nil
}

func challenge(nonce string) []byte {
	return []byte(fmt.Sprintf(`realm="%s",nonce="%s",qop="auth",charset=utf-8,algorithm=md5-sess`, saslRealm, nonce))
}

// digest is the proof that whoever has made it knows the password.
func digest(begin, user, realm, password, nonce, cnonce, nc, uri string) string {
	h := func(s string) []byte { d := md5.Sum([]byte(s)); return d[:] }
	a1 := string(h(user+":"+realm+":"+password)) + ":" + nonce + ":" + cnonce
	return hex.EncodeToString(h(hex.EncodeToString(h(a1)) + ":" + nonce + ":" + nc + ":" + cnonce + ":auth:" +
		hex.EncodeToString(h(begin+":"+uri))))
}

// directives reads key=value pairs, quoted or not.
func directives(b []byte) (map[string]string, error) {
	out := map[string]string{}
	s := string(b)
	for s != "" {
		key, rest, ok := strings.Cut(s, "=")
		key = strings.ToLower(strings.TrimSpace(strings.TrimLeft(key, ", ")))
		if !ok || key == "" || out[key] != "" {
			return nil, fmt.Errorf("%w: malformed directives", ErrAuth)
		}
		var v strings.Builder
		if strings.HasPrefix(rest, `"`) {
			i := 1
			for ; i < len(rest) && rest[i] != '"'; i++ {
				if rest[i] == '\\' && i+1 < len(rest) {
					i++
				}
				v.WriteByte(rest[i])
			}
			if i >= len(rest) {
				return nil, fmt.Errorf("%w: malformed directives", ErrAuth)
			}
			rest = rest[i+1:]
		} else {
			plain, _, _ := strings.Cut(rest, ",")
			v.WriteString(strings.TrimSpace(plain))
			rest = rest[len(plain):]
		}
		out[key] = v.String()
		s = strings.TrimLeft(rest, ", ")
	}
	return out, nil
}

func quote(s string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(s) + `"`
}

// respond is a client's answer to a challenge; expect is what the server must
// prove in turn.
func respond(ch, identifier, password []byte) (token []byte, expect string, err error) {
	d, err := directives(ch)
	if err != nil {
		return nil, "", err
	}
	if d["nonce"] == "" {
		return nil, "", fmt.Errorf("%w: no nonce", ErrAuth)
	}
	cnonce, err := nonce()
	if err != nil {
		return nil, "", err
	}
	user, pw := base64.StdEncoding.EncodeToString(identifier), base64.StdEncoding.EncodeToString(password)
	proof := digest("AUTHENTICATE", user, saslRealm, pw, d["nonce"], cnonce, "00000001", saslURI)
	out := fmt.Sprintf(`charset=utf-8,username=%s,realm="%s",nonce=%s,nc=00000001,cnonce=%s,digest-uri="%s",maxbuf=65536,response=%s,qop=auth`,
		quote(user), saslRealm, quote(d["nonce"]), quote(cnonce), saslURI, proof)
	return []byte(out), digest("", user, saslRealm, pw, d["nonce"], cnonce, "00000001", saslURI), nil
}

// verify checks a client's response and returns the token's identifier and the
// server's own proof. password finds a token's password, an error if the token
// is not valid any more.
func verify(response []byte, nonce string, password func(identifier []byte) ([]byte, error)) (identifier, proof []byte, err error) {
	d, err := directives(response)
	if err != nil {
		return nil, nil, err
	}
	identifier, derr := base64.StdEncoding.DecodeString(d["username"])
	switch {
	case derr != nil || len(identifier) == 0:
		return nil, nil, fmt.Errorf("%w: no token", ErrAuth)
	case d["nonce"] != nonce || d["realm"] != saslRealm || d["qop"] != "auth" || d["nc"] != "00000001" || d["digest-uri"] != saslURI || d["cnonce"] == "":
		return nil, nil, fmt.Errorf("%w: the response is to another challenge", ErrAuth)
	}
	pass, err := password(identifier)
	if err != nil {
		var e *Error
		if !errors.As(err, &e) {
			return nil, nil, err // not known yet: no word on the token
		}
		return nil, nil, fmt.Errorf("%w: %v", ErrAuth, err) //nolint:errorlint // ErrAuth is what is answered, not the class of the cause
	}
	pw := base64.StdEncoding.EncodeToString(pass)
	want := digest("AUTHENTICATE", d["username"], saslRealm, pw, nonce, d["cnonce"], d["nc"], saslURI)
	if !hmac.Equal([]byte(want), []byte(strings.ToLower(d["response"]))) {
		return nil, nil, fmt.Errorf("%w: wrong password", ErrAuth)
	}
	return identifier, []byte("rspauth=" + digest("", d["username"], saslRealm, pw, nonce, d["cnonce"], d["nc"], saslURI)), nil
}
