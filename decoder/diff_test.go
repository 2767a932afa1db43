package decoder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/decoder"
)

// TestDiff guards against changes that Diff omits, which an operator would then accept without seeing them.
func TestDiff(t *testing.T) {
	old, _ := decoder.DecodeDocument("", []byte(validDocument))
	next, _ := decoder.DecodeDocument("", []byte(validDocument))
	require.Empty(t, decoder.Diff(old, next))

	next.Revision = 7
	next.Domains[0], next.Domains[1] = next.Domains[1], next.Domains[0]
	next.Domains[0].Out = true
	next.Upstreams[1].Name = "u3"
	next.Services[0].NeededCoverage = 0.5
	next.Services[0].Routes = next.Services[0].Routes[:1]
	next.Services[0].Snapshots[0].Shards[1].Upstreams = []string{"u3", "u1"}
	var got []string
	for _, change := range decoder.Diff(old, next) {
		got = append(got, change.String())
	}
	require.Equal(t, []string{
		`Domains[b].Out: false -> true`,
		`Domains: order [a, b] -> order [b, a]`,
		`Upstreams[u2]: removed {Address: "10.0.0.2:80", Domain: "b", Version: "2", Slots: 2, Connections: 1, ConnectMillis: 1, ColdSlots: 2, Leaving: false}`,
		`Upstreams[u3]: added {Address: "10.0.0.2:80", Domain: "b", Version: "2", Slots: 2, Connections: 1, ConnectMillis: 1, ColdSlots: 2, Leaving: false}`,
		`Services[s].Routes[print]: removed {Repeatable: false, Single: true}`,
		`Services[s].Snapshots[n1].Shards[y].Upstreams: [u2] -> [u3, u1]`,
		`Services[s].NeededCoverage: 0.9 -> 0.5`,
	}, got)
	require.Contains(t, decoder.Diff(nil, next), decoder.Change{Field: "Seats", Old: "0", New: "2"})
}

// TestEncode guards against null for a nil list, which the decoder rejects, and against HTML escapes in names.
func TestEncode(t *testing.T) {
	doc := &tiller.Document{Environment: "trial", Seats: 1, Domains: []tiller.Domain{{Name: "a&b", Region: "r"}}}
	text, err := decoder.Encode(doc)
	require.NoError(t, err)
	want := "{\n\t\"Environment\": \"trial\",\n\t\"Revision\": 0,\n\t\"Seats\": 1,\n\t\"Domains\": [\n\t\t{\n" +
		"\t\t\t\"Name\": \"a&b\",\n\t\t\t\"Region\": \"r\",\n\t\t\t\"Out\": false\n\t\t}\n\t],\n" +
		"\t\"Upstreams\": [],\n\t\"Services\": [],\n\t\"Moves\": []\n}\n"
	require.Equal(t, want, string(text))
	redecoded, faults := decoder.DecodeDocument("", text)
	require.Empty(t, faults)
	require.Empty(t, decoder.Diff(doc, redecoded))
}

// TestReplaceEnvironment guards against changes to other parts of a document that is promoted to another environment.
func TestReplaceEnvironment(t *testing.T) {
	text := "{// \"Environment\": \"x\"\n\"Seats\" : 1, \"Environment\" : /**/ \"trial\" , }"
	got, err := decoder.ReplaceEnvironment([]byte(text), "production")
	require.NoError(t, err)
	require.Equal(t, "{// \"Environment\": \"x\"\n\"Seats\" : 1, \"Environment\" : /**/ \"production\" , }", string(got))
	_, err = decoder.ReplaceEnvironment([]byte(`{}`), "production")
	require.EqualError(t, err, "no field Environment")
}
