package sampler_test

import (
	"net/netip"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/decoder"
	"github.com/carawaytiller/carawaytiller/sampler"
)

// firstAddresses maps a deployment to the IP address of the first upstream in its example document.
var firstAddresses = map[string]string{sampler.Guild: "10.1.0.1", sampler.Lochan: "10.2.0.1"}

// document returns the document of a deployment with the addresses used in the example documents.
func document(deployment string) *tiller.Document {
	first := netip.MustParseAddr(firstAddresses[deployment])
	return sampler.Document(deployment, sampler.SequentialAddresses(first, 8080))
}

// TestExamples guards against example files that are invalid or differ from the sample documents.
func TestExamples(t *testing.T) {
	for deployment, file := range map[string]string{sampler.Guild: "guild.json", sampler.Lochan: "lochan.json"} {
		text, err := os.ReadFile("../examples/" + file)
		require.NoError(t, err)
		got, faults := decoder.DecodeDocument(file, text)
		require.Empty(t, faults.String())
		require.Empty(t, decoder.Diff(document(deployment), got))
		require.Equal(t, document(deployment), got)
	}
	text, err := os.ReadFile("../examples/settings.json")
	require.NoError(t, err)
	_, faults := decoder.DecodeSettings("settings.json", text)
	require.Empty(t, faults.String())
}

// TestDocumentMatchesDesignTable guards against a sample document that differs from the table of deployments
// in docs/design.md.
func TestDocumentMatchesDesignTable(t *testing.T) {
	type row struct {
		services, upstreams, slots, connections int
		connectMillis                           tiller.Millis
	}
	want := map[string]map[string]row{
		sampler.Lochan: {
			"casework-desk": {20, 2, 2, 25, 6},
			"dues-ledger":   {30, 2, 2, 25, 6},
			"case-files":    {1, 4, 6, 110, 1},
			"bulletin":      {1, 3, 6, 110, 1},
		},
		sampler.Guild: {
			"recipe-desk":    {20, 2, 2, 25, 6},
			"costing-ledger": {30, 2, 2, 25, 6},
			"label-printer":  {1, 9, 3, 40, 1},
			"audit-archive":  {1, 4, 3, 40, 1},
		},
	}
	for deployment, rows := range want {
		got := map[string]row{}
		doc := document(deployment)
		for _, s := range doc.Services {
			kind := strings.TrimRight(strings.TrimRight(s.Name, "0123456789"), "-")
			r := row{services: got[kind].services + 1}
			for _, u := range upstreamsOf(doc, s) {
				r.upstreams++
				r.slots, r.connections, r.connectMillis = u.Slots, u.Connections, u.ConnectMillis
			}
			got[kind] = r
		}
		require.Equal(t, rows, got, deployment)
		require.Equal(t, 8, doc.Seats)
		require.Len(t, doc.Domains, 3)
	}
	require.Nil(t, sampler.Document("Other", nil))
}

// upstreamsOf returns the upstreams that hold a shard of s, keyed by name.
func upstreamsOf(doc *tiller.Document, s tiller.Service) map[string]tiller.Upstream {
	out := map[string]tiller.Upstream{}
	for _, snapshot := range s.Snapshots {
		for _, shard := range snapshot.Shards {
			for _, name := range shard.Upstreams {
				out[name] = upstream(doc, name)
			}
		}
	}
	return out
}

// upstream returns the upstream with the given name, or a zero Upstream if there is none.
func upstream(doc *tiller.Document, name string) tiller.Upstream {
	for _, u := range doc.Upstreams {
		if u.Name == name {
			return u
		}
	}
	return tiller.Upstream{}
}

// TestReplicasAreInDifferentDomains guards against a shard whose upstreams are all in one failure domain,
// and which the loss of that domain would make unavailable.
func TestReplicasAreInDifferentDomains(t *testing.T) {
	for _, deployment := range []string{sampler.Guild, sampler.Lochan} {
		doc := document(deployment)
		for _, s := range doc.Services {
			for _, snapshot := range s.Snapshots {
				require.GreaterOrEqual(t, len(snapshot.Shards), 4)
				require.LessOrEqual(t, len(snapshot.Shards), 16)
				for _, shard := range snapshot.Shards {
					require.Len(t, shard.Upstreams, 2)
					first, second := upstream(doc, shard.Upstreams[0]), upstream(doc, shard.Upstreams[1])
					require.NotEqual(t, first.Domain, second.Domain, "%s %s", s.Name, shard.Name)
				}
			}
		}
	}
}
