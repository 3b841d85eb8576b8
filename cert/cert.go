// Package cert makes the TLS configurations of a process from files that may
// change while it runs.
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
	// recheckInterval is how long files that were looked at count as unchanged: three
	// calls of stat a second are nothing, three a handshake would be felt when
	// a thousand callers connect at once.
	recheckInterval = time.Second
	// expiryWarnWindow is how long before a certificate's end the log says so: a
	// working week and the days around it.
	expiryWarnWindow = 7 * 24 * time.Hour
	// expiryWarnInterval is how often the log says so.
	expiryWarnInterval = 24 * time.Hour
)

// Files names a certificate, its key and the authority that signs the peers'
// certificates, all PEM. They are read again when their size or time of change
// differs; new connections use the new ones, open connections stay. When
// changed files can't be used, the last good ones stay in use and the log says
// so: a half-written file must not cut a host off from the fleet.
type Files struct {
	Cert string
	Key  string
	// CA is not needed towards callers.
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

// keyMaterial is what was read from the files; it never changes.
type keyMaterial struct {
	pair     tls.Certificate
	roots    *x509.CertPool
	notAfter time.Time
}

// ErrFiles says that certificate files can't be used.
type ErrFiles struct {
	Files string
	Cause error
}

// Error names the files and the cause.
func (e ErrFiles) Error() string { return e.Files + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e ErrFiles) Unwrap() error { return e.Cause }

// IsErrFiles says whether certificate files can't be used.
func IsErrFiles(err error) bool {
	var e ErrFiles
	return errors.As(err, &e)
}

// Load reads the files for the first time. A process that starts with unusable
// files says so and ends, rather than refuse each connection.
func (f *Files) Load() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checkedAt = f.now()
	f.fileStamps = f.statFiles()
	return f.read()
}

// current returns what is in use, after a look at the files.
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

// read replaces what is in use by what the files hold, if that is usable.
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
		return nil, errors.WithStack(ErrFiles{Files: f.CA, Cause: errors.New("no certificate in it")})
	}
	return m, nil
}

// warnExpiry says once a day that the certificate in use ends soon. Without it the
// first sign would be that no process reaches another.
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

// fileStamp tells one content of a file from the next without reading it.
type fileStamp struct {
	size  int64
	nanos int64
}

// stamps are those of certificate, key and authority.
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
