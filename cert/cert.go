// Package cert builds the TLS configurations of a process from files that can
// change while it runs. New connections use the new files; unusable files never replace
// those in use.
package cert

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep/event"
)

const (
	// recheckInterval is the minimum time between checks of the files. Three calls of stat
	// per second cost nothing, but three per handshake are noticeable when a thousand
	// callers connect at once.
	recheckInterval = time.Second
	// expiryWarnWindow is the time before a certificate's expiry from which it is logged: a
	// working week and a weekend.
	expiryWarnWindow = 7 * 24 * time.Hour
	// expiryWarnInterval is the interval between these log lines.
	expiryWarnInterval = 24 * time.Hour
)

// Files names a certificate, its key and the authority that signs the peers'
// certificates, all in PEM format. They are read again when their size or modification time
// changes; new connections use the new ones, open connections continue. If
// changed files can't be used, the last valid ones stay in use and an error is
// logged: an incomplete file must not disconnect a host from the fleet.
type Files struct {
	Cert string
	Key  string
	// CA is not needed for caller connections.
	CA  string
	Log *event.Log
	// Now is the clock; time.Now if nil.
	Now func() time.Time

	mu         sync.Mutex
	checkedAt  time.Time
	warnedAt   time.Time
	fileStamps stamps
	loaded     *keyMaterial
}

// keyMaterial is the parsed content of the files; it is immutable.
type keyMaterial struct {
	pair     tls.Certificate
	roots    *x509.CertPool
	notAfter time.Time
}

// ErrFiles reports certificate files that can't be used.
type ErrFiles struct {
	Files string
	Cause error
}

// Error returns the files and the cause.
func (e ErrFiles) Error() string { return e.Files + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e ErrFiles) Unwrap() error { return e.Cause }

// IsErrFiles reports whether an error is an ErrFiles.
func IsErrFiles(err error) bool {
	var e ErrFiles
	return errors.As(err, &e)
}

// Load reads the files for the first time. If they can't be used, the process must exit
// instead of refusing each connection.
func (f *Files) Load() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checkedAt = f.now()
	f.fileStamps = f.statFiles()
	return f.read()
}

// current checks the files for changes and returns the material in use.
func (f *Files) current() (*keyMaterial, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	if f.loaded == nil {
		return nil, errors.WithStack(ErrFiles{Files: f.Cert, Cause: errors.New("not loaded")})
	}
	return f.loaded, nil
}

func (f *Files) refresh() {
	now := f.now()
	if now.Sub(f.checkedAt) < recheckInterval {
		return
	}
	f.checkedAt = now
	if s := f.statFiles(); s != f.fileStamps {
		f.fileStamps = s
		_ = f.read()
	}
	f.warnExpiry(now)
}

// read replaces the material in use with the content of the files if that is usable.
func (f *Files) read() error {
	m, err := f.parse()
	if err != nil {
		f.Log.Emit(event.CertBroken, event.Str("file", f.Cert), event.Err(err))
		return err
	}
	f.loaded = m
	f.Log.Emit(event.CertLoaded, event.Str("file", f.Cert), event.Str("end", m.notAfter.Format(time.RFC3339)))
	return nil
}

func (f *Files) parse() (*keyMaterial, error) {
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, errors.WithStack(ErrFiles{Files: f.Cert + " and " + f.Key, Cause: err})
	}
	m := &keyMaterial{pair: pair, notAfter: pair.Leaf.NotAfter}
	if f.CA == "" {
		return m, nil
	}
	raw, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, errors.WithStack(ErrFiles{Files: f.CA, Cause: err})
	}
	m.roots = x509.NewCertPool()
	if !m.roots.AppendCertsFromPEM(raw) {
		return nil, errors.WithStack(ErrFiles{Files: f.CA, Cause: errors.New("contains no certificate")})
	}
	return m, nil
}

// warnExpiry logs once a day that the certificate in use expires soon. Otherwise the
// expiry would first show as processes that can't connect to each other.
func (f *Files) warnExpiry(now time.Time) {
	if f.loaded == nil || f.loaded.notAfter.Sub(now) > expiryWarnWindow || now.Sub(f.warnedAt) < expiryWarnInterval {
		return
	}
	f.warnedAt = now
	f.Log.Emit(event.CertExpires, event.Str("file", f.Cert), event.Str("end", f.loaded.notAfter.Format(time.RFC3339)))
}

func (f *Files) now() time.Time {
	if f.Now != nil {
		return f.Now()
	}
	return time.Now()
}

// fileStamp detects that a file has changed without reading it.
type fileStamp struct {
	size  int64
	nanos int64
}

// stamps holds the stamps of certificate, key and authority.
type stamps [3]fileStamp

func (f *Files) statFiles() stamps {
	return stamps{statFile(f.Cert), statFile(f.Key), statFile(f.CA)}
}

func statFile(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{size: info.Size(), nanos: info.ModTime().UnixNano()}
}
