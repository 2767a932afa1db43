package messenger_test

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/carawaytiller/carawaytiller/issuer"
	"github.com/carawaytiller/carawaytiller/messenger"
)

func ExampleLoadKeys() {
	dir, _ := os.MkdirTemp("", "keys")
	defer func() { _ = os.RemoveAll(dir) }()
	files := messenger.KeyFiles{
		Authority:   filepath.Join(dir, "ca.pem"),
		Certificate: filepath.Join(dir, "vm-1.pem"),
		Key:         filepath.Join(dir, "vm-1-key.pem"),
	}
	authority, _ := issuer.NewAuthority("trial", time.Now(), 24*time.Hour)
	_ = authority.Pair().Write(files.Authority, filepath.Join(dir, "ca-key.pem"))
	pair, _ := authority.Issue("vm-1", time.Now(), time.Hour)
	_ = pair.Write(files.Certificate, files.Key)

	keys, err := messenger.LoadKeys(files)
	fmt.Println(err, time.Until(keys.Expires()) > 59*time.Minute)
	// Output: <nil> true
}
