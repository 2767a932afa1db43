package gatekeeper_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An odd entry of another writer among those of the upstreams must neither end the daemons nor keep them from
// following the others.
func TestOddEntryDoesNotStopFollowing(t *testing.T) {
	f := newFleet(t)
	deep := strings.Repeat("[", 200000)
	entry := `{"Service":"single","Address":%q,"Zone":"east-a","State":"ready","Slots":2,"ColdMs":0,"Sequence":1%s}`
	for i, odd := range []string{
		deep,
		`{"Service":` + deep,
		`{"Service":"single","New":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + `}`,
		fmt.Sprintf(entry, "10.0.0.1:99999", ""),
		fmt.Sprintf(entry, "10.0.0.1:-1", ""),
		fmt.Sprintf(entry, "10.0.0.1", ""),
		fmt.Sprintf(entry, "127.0.0.1:9", `,"Slots":1e400`),
		fmt.Sprintf(entry, "127.0.0.1:9", `,"Slots":99999999999999999999`),
		fmt.Sprintf(entry, "127.0.0.1:9", `,"ColdMs":1e308`),
		fmt.Sprintf(entry, "127.0.0.1:9", `,"born":1e30`),
		"\x00\xff\xfe", `"text"`, "[]", "null", "",
	} {
		f.store.Put(fmt.Sprintf("servers/odd-%d", i), odd)
	}
	f.configure(2, "/newer/")
	for _, d := range f.daemons {
		f.waitServed(d, "/newer/1")
	}
	late := f.start("east-a", "vm-late")
	t.Cleanup(func() { late.stop(); <-late.exited })
	f.waitReady(late)
	for _, d := range append(f.daemons, late) {
		for i := range 20 {
			start := time.Now()
			require.Equal(t, http.StatusOK, f.request(d, "GET", fmt.Sprintf("/one/%d", i), nil).status)
			require.Less(t, time.Since(start), 2*time.Second)
		}
	}
}
