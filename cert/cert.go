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
	// recheck is how long files that were looked at count as unchanged: three
	// calls of stat a second are nothing, three a handshake would be felt when
	// a thousand callers connect at once.
	recheck = time.Second
	// warnBefore is how long before a certificate's end the log says so: a
	// working week and the days around it.
	warnBefore = 7 * 24 * time.Hour
	// warnEvery is how often the log says so.
	warnEvery = 24 * time.Hour
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

	mu     sync.Mutex
	looked time.Time
	warned time.Time
	seen   stamps
	good   *material
}

// material is what was read from the files; it never changes.
type material struct {
	pair  tls.Certificate
	roots *x509.CertPool
	end   time.Time
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
	f.looked = f.now()
	f.seen = f.stamp()
	return f.read()
}

// current returns what is in use, after a look at the files.
func (f *Files) current() (*material, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	if f.good == nil {
		return nil, errors.WithStack(ErrFiles{Files: f.Cert, Cause: errors.New("not loaded")})
	}
	return f.good, nil
}

func (f *Files) refresh() {
	now := f.now()
	if now.Sub(f.looked) < recheck {
		return
	}
	f.looked = now
	if s := f.stamp(); s != f.seen {
		f.seen = s
		_ = f.read()
	}
	f.warn(now)
}

// read replaces what is in use by what the files hold, if that is usable.
func (f *Files) read() error {
	m, err := f.parse()
	if err != nil {
		f.Log.Emit(event.CertBroken, event.Str("file", f.Cert), event.Err(err))
		return err
	}
	f.good = m
	f.Log.Emit(event.CertLoaded, event.Str("file", f.Cert), event.Str("end", m.end.Format(time.RFC3339)))
	return nil
}

func (f *Files) parse() (*material, error) {
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, errors.WithStack(ErrFiles{Files: f.Cert + " and " + f.Key, Cause: err})
	}
	m := &material{pair: pair, end: pair.Leaf.NotAfter}
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

// warn says once a day that the certificate in use ends soon. Without it the
// first sign would be that no process reaches another.
func (f *Files) warn(now time.Time) {
	if f.good == nil || f.good.end.Sub(now) > warnBefore || now.Sub(f.warned) < warnEvery {
		return
	}
	f.warned = now
	f.Log.Emit(event.CertExpires, event.Str("file", f.Cert), event.Str("end", f.good.end.Format(time.RFC3339)))
}

func (f *Files) now() time.Time {
	if f.Now != nil {
		return f.Now()
	}
	return time.Now()
}

// stamp tells one content of a file from the next without reading it.
type stamp struct {
	size  int64
	nanos int64
}

// stamps are those of certificate, key and authority.
type stamps [3]stamp

func (f *Files) stamp() stamps {
	return stamps{stampOf(f.Cert), stampOf(f.Key), stampOf(f.CA)}
}

func stampOf(path string) stamp {
	info, err := os.Stat(path)
	if err != nil {
		return stamp{}
	}
	return stamp{size: info.Size(), nanos: info.ModTime().UnixNano()}
}
