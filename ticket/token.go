package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
)

const (
	// tokenVersion is the first byte of a token. It distinguishes later formats from this one while
	// processes of both versions run.
	tokenVersion = 1
	// nonceSize is the size of a nonce in bytes. With a million tickets in a slot, the probability
	// that two nonces collide is below 1 in 10^16.
	nonceSize = 12
	// macSize is the size of the MAC in bytes: HMAC-SHA256 truncated to 128 bits.
	macSize = 16
	// maxName is the maximum length in bytes of target, incarnation and workspace, whose lengths
	// are encoded in one byte each.
	maxName = 255
	// maxToken is the maximum length of a token's text, which is checked before decoding so that a
	// hostile header uses no memory. It covers three names and their lengths, slot, nonce and MAC,
	// in base64.
	maxToken = (1 + 3*(maxName+1) + binary.MaxVarintLen64 + nonceSize + macSize + 2) / 3 * 4
)

type nonce [nonceSize]byte

// claim holds the fields of a token. They can't be trusted before the MAC has been checked, except
// for the target, which only selects the agent that checks it.
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

// parse splits a token into its claim, the signed bytes and the MAC. Line ends, which the decoder
// skips, are rejected, so that each ticket has exactly one text.
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

// reader decodes the fields of a token. After the first short field it returns zero values, and ok
// stays false.
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

// Target returns the target to which a token is bound, so that an entry can route it without the
// key. The value is not authenticated: the agent of that target checks the token.
func Target(token string) (string, bool) {
	c, _, _, ok := parse(token)
	return c.target, ok
}
