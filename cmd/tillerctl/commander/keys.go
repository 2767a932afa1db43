package commander

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaytiller/carawaytiller/issuer"
)

const (
	// authorityName is the name of the trial authority and of its files.
	authorityName = "authority"
	// greatestDays bounds the validity of keys for trials.
	greatestDays = 365
	day          = 24 * time.Hour
)

// keysNewCommand makes certificates for trials.
type keysNewCommand struct {
	Dir  string `long:"dir" value-name:"DIR" required:"yes" description:"directory for the files; it is made when it does not exist"`
	Name string `long:"name" value-name:"NAME" default:"daemon" description:"name of the daemon and of its files"`
	Days int    `long:"days" value-name:"N" default:"30" description:"validity in days, at most 365"`
}

func (k *keysNewCommand) run(_ context.Context, c *Commander) error {
	if err := k.check(); err != nil {
		return err
	}
	if err := os.MkdirAll(k.Dir, 0o700); err != nil {
		return wrapInput(err, "directory")
	}
	now, valid := c.Now(), time.Duration(k.Days)*day
	authority, err := k.authority(c, now, valid)
	if err != nil {
		return err
	}
	pair, err := authority.Issue(k.Name, now, valid)
	if err != nil {
		return err
	}
	return k.write(c, k.Name, pair)
}

// check returns an error for options that do not fit.
func (k *keysNewCommand) check() error {
	switch {
	case k.Days < 1 || k.Days > greatestDays:
		return badInput(errors.Errorf("%d days are not from 1 to %d", k.Days, greatestDays))
	case k.Name == authorityName || k.Name != filepath.Base(k.Name) || k.Name == ".":
		return badInput(errors.Errorf("%q is not a name for the files of a daemon", k.Name))
	}
	for _, file := range k.files(k.Name) {
		if _, err := os.Lstat(file); err == nil {
			return badInput(errors.Errorf("%s exists", file))
		}
	}
	return nil
}

// files returns the files of a certificate and its key.
func (k *keysNewCommand) files(name string) [2]string {
	return [2]string{filepath.Join(k.Dir, name+".crt"), filepath.Join(k.Dir, name+".key")}
}

// authority returns the authority of the directory, which it makes when there is none.
func (k *keysNewCommand) authority(c *Commander, now time.Time, valid time.Duration) (*issuer.Authority, error) {
	files := k.files(authorityName)
	var pair issuer.Pair
	var err, keyErr error
	pair.Certificate, err = os.ReadFile(files[0])
	pair.Key, keyErr = os.ReadFile(files[1])
	if errors.Is(err, os.ErrNotExist) && errors.Is(keyErr, os.ErrNotExist) {
		made, err := issuer.NewAuthority(authorityName, now, valid)
		if err != nil {
			return nil, err
		}
		return made, k.write(c, authorityName, made.Pair())
	}
	if err := errors.Join(err, keyErr); err != nil {
		return nil, wrapInput(err, "read authority")
	}
	authority, err := issuer.LoadAuthority(pair)
	return authority, wrapInput(err, "authority")
}

// write writes a certificate and its key.
func (k *keysNewCommand) write(c *Commander, name string, pair issuer.Pair) error {
	files := k.files(name)
	if err := pair.Write(files[0], files[1]); err != nil {
		return err
	}
	c.print("%s\n%s\n", files[0], files[1])
	return nil
}
