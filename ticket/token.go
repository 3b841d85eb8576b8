package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
)

const (
	// tokenVersion is the first byte of a token, so that a later form can be told
	// from this one while processes of both versions run.
	tokenVersion = 1
	// nonceSize makes a collision of two nonces in one slot negligible: with a
	// million tickets in a slot it is less likely than one in 10^16.
	nonceSize = 12
	// macSize is HMAC-SHA256 cut to 128 bits: a guess succeeds once in 2^128.
	macSize = 16
	// maxName bounds target, incarnation and workspace in bytes: each has one
	// byte for its length.
	maxName = 255
	// maxToken bounds the text before it is decoded, so that a hostile header
	// costs no memory: three names and their lengths, slot, nonce and MAC, in
	// base64.
	maxToken = (1 + 3*(maxName+1) + binary.MaxVarintLen64 + nonceSize + macSize + 2) / 3 * 4
)

type nonce [nonceSize]byte

// claim is what a token says. Nothing of it is true before the MAC was checked,
// but for the target, which only picks the agent that checks it.
type claim struct {
	target      string
	incarnation string
	slot        uint64
	nonce       nonce
	workspace   string
}

func (c claim) encode() []byte {
	b := make([]byte, 0, 4+len(c.target)+len(c.incarnation)+len(c.workspace)+
		binary.MaxVarintLen64+nonceSize+macSize)
	b = append(b, tokenVersion)
	b = appendName(b, c.target)
	b = appendName(b, c.incarnation)
	b = binary.AppendUvarint(b, c.slot)
	b = append(b, c.nonce[:]...)
	return appendName(b, c.workspace)
}

func appendName(b []byte, name string) []byte {
	b = append(b, byte(len(name)))
	return append(b, name...)
}

func sign(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)[:macSize]
}

func (c claim) token(key []byte) string {
	b := c.encode()
	b = append(b, sign(key, b)...)
	return base64.RawURLEncoding.EncodeToString(b)
}

// parse splits a token into its claim, the signed bytes and the MAC. Line ends,
// which the decoder skips, are refused, so that one text stands for one ticket.
func parse(token string) (c claim, body, mac []byte, ok bool) {
	if len(token) > maxToken {
		return claim{}, nil, nil, false
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil || len(b) < macSize || strings.ContainsAny(token, "\r\n") {
		return claim{}, nil, nil, false
	}
	body, mac = b[:len(b)-macSize], b[len(b)-macSize:]
	r := reader{b: body, ok: true}
	if r.byte() != tokenVersion {
		return claim{}, nil, nil, false
	}
	c.target = r.name()
	c.incarnation = r.name()
	c.slot = r.uvarint()
	copy(c.nonce[:], r.take(nonceSize))
	c.workspace = r.name()
	return c, body, mac, r.ok && len(r.b) == 0
}

// reader takes fields off a token. After the first short field it yields zero
// values, and ok stays false.
type reader struct {
	b  []byte
	ok bool
}

func (r *reader) take(n int) []byte {
	if n > len(r.b) {
		r.ok = false
		return nil
	}
	p := r.b[:n]
	r.b = r.b[n:]
	return p
}

func (r *reader) byte() byte {
	p := r.take(1)
	if p == nil {
		return 0
	}
	return p[0]
}

func (r *reader) name() string {
	return string(r.take(int(r.byte())))
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.ok = false
		return 0
	}
	r.b = r.b[n:]
	return v
}

// Target reads which target a token is bound to, so that an entry can route it
// without the key. It is advice: the agent of that target checks the token.
func Target(token string) (string, bool) {
	c, _, _, ok := parse(token)
	return c.target, ok
}
