package decoder_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/decoder"
)

// validDocument is a valid document with every kind of object except a move, with one object or field per line.
const validDocument = `{ // comment
"Environment": "trial",
"Seats": 2,
"Domains": [
{"Name": "a", "Region": "north"},
{"Name": "b", "Region": "north"},
],
"Upstreams": [
{"Name": "u1", "Address": "10.0.0.1:80", "Domain": "a", "Slots": 2, "Connections": 25, "Version": "1"},
{"Name": "u2", "Address": "10.0.0.2:80", "Domain": "b", "Slots": 2, "Connections": 1, "ColdSlots": 2, "Version": "2"},
],
"Services": [
{"Name": "s",
"Current": "n1",
"Routes": [{"Name": "search", "Repeatable": true}, {"Name": "print", "Repeatable": false, "Single": true}],
"Snapshots": [{"Name": "n1", "Shards": [
{"Name": "x", "Upstreams": ["u1", "u2"]},
{"Name": "y", "Upstreams": ["u2"]},
]}],
},
],
}
`

func TestDecodeDocumentSetsDefaults(t *testing.T) {
	doc, faults := decoder.DecodeDocument("small.json", []byte(validDocument))
	require.Empty(t, faults)
	want := tiller.Service{
		Name:    "s",
		Current: "n1",
		Routes:  []tiller.Route{{Name: "search", Repeatable: true}, {Name: "print", Single: true}},
		Snapshots: []tiller.Snapshot{{Name: "n1", Shards: []tiller.Shard{
			{Name: "x", Upstreams: []string{"u1", "u2"}},
			{Name: "y", Upstreams: []string{"u2"}},
		}}},
		WaitFor:         tiller.WaitForCoverage,
		NeededCoverage:  0.9,
		StragglerMillis: 20,
		DeadlineMillis:  2000,
		Limit:           10,
		QueueLimit:      1000,
		HedgePercent:    5,
		RetryPercent:    10,
	}
	require.Equal(t, []tiller.Service{want}, doc.Services)
	require.Equal(t, 1, doc.Upstreams[0].ColdSlots)
	require.Equal(t, tiller.Millis(1), doc.Upstreams[0].ConnectMillis)
}

// TestDecodeDocumentFaults guards against faults that are missed, reported at the wrong position,
// or accompanied by other faults that only follow from them.
func TestDecodeDocumentFaults(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"syntax", `"Seats": 2,`, `"Seats": 2`, `4:1: Document: invalid character '"' after object value (expecting ',' or '}')`},
		{"literal", `2,`, `0x2,`, `3:10: Document: invalid literal: 0x2`},
		{"unterminated comment", `{ // comment`, `{ /* comment`, `1:3: Document: parsing comment: unexpected EOF`},
		{"nested too deep", `"Seats": 2,`, `"Seats": [[[[[[[[[[[[[[[[2]]]]]]]]]]]]]]]],`, `3:25: Document: nested deeper than 16 levels`},
		{"unknown field", `"Seats": 2,`, `"Seats": 2, "Seat": 1,`, `3:13: Seat: unknown field`},
		{"wrong case", `"Single": true`, `"single": true`, "15:84: Services[0].Routes[1].Repeatable: a route that is not Repeatable must be Single\n" +
			`15:91: Services[0].Routes[1].single: unknown field; the name is Single`},
		{"duplicate key", `"Seats": 2,`, `"Seats": 2, "Seats": 3,`, `3:13: Seats: duplicate key`},
		{"fault below a duplicate key", `"Seats": 2,`, `"Seats": 2, "Seats": "x",`, "3:13: Seats: duplicate key\n3:22: Seats: want a whole number, have a string"},
		{"wrong type", `"Seats": 2,`, `"Seats": "2",`, `3:10: Seats: want a whole number, have a string`},
		{"null", `"Seats": 2,`, `"Seats": null,`, `3:10: Seats: want a whole number, have null`},
		{"fraction", `"Seats": 2,`, `"Seats": 2.0,`, `3:10: Seats: want a whole number, have a number 2.0`},
		{"overflow", `"Seats": 2,`, `"Seats": 99999999999999999999,`, `3:10: Seats: the number is out of range`},
		{"missing field", `"Seats": 2,`, ``, `1:1: Seats: missing required field`},
		{"zero", `"Seats": 2,`, `"Seats": 0,`, `3:10: Seats: 0 is less than 1`},
		{"environment", `"trial"`, `"staging"`, `2:16: Environment: staging is none of trial, production`},
		{"duplicate domain", `"Name": "b"`, `"Name": "a"`, "6:10: Domains[1].Name: duplicate of Domains[0].Name, a\n10:52: Upstreams[1].Domain: unknown failure domain b"},
		{"duplicate upstream", `{"Name": "u2", "A`, `{"Name": "u1", "A`, "10:10: Upstreams[1].Name: duplicate of Upstreams[0].Name, u1\n" +
			"17:35: Services[0].Snapshots[0].Shards[0].Upstreams[1]: unknown upstream u2\n" +
			"18:29: Services[0].Snapshots[0].Shards[1].Upstreams[0]: unknown upstream u2"},
		{"duplicate address", `10.0.0.2:80`, `[::ffff:10.0.0.1]:80`, `10:27: Upstreams[1].Address: duplicate of Upstreams[0].Address, "10.0.0.1:80"`},
		{"host name", `10.0.0.2:80`, `host:80`, `10:27: Upstreams[1].Address: "host:80" is not an IP address with a port, such as 10.0.0.1:8080`},
		{"port 0", `10.0.0.2:80`, `10.0.0.2:0`, `10:27: Upstreams[1].Address: the port is 0`},
		{"more cold slots than slots", `"ColdSlots": 2`, `"ColdSlots": 3`, `10:100: Upstreams[1].ColdSlots: 3 is more than Slots, 2`},
		{"unknown domain", `"Domain": "b"`, `"Domain": "c"`, `10:52: Upstreams[1].Domain: unknown failure domain c`},
		{"duplicate route", `"print"`, `"search"`, `15:61: Services[0].Routes[1].Name: duplicate of Services[0].Routes[0].Name, search`},
		{"neither repeatable nor single", `"Single": true`, `"Single": false`, `15:84: Services[0].Routes[1].Repeatable: a route that is not Repeatable must be Single`},
		{"coverage above 1", `"Current": "n1",`, `"Current": "n1", "NeededCoverage": 1.01,`, `14:36: Services[0].NeededCoverage: 1.01 is more than 1`},
		{"percentages out of range", `"Current": "n1",`, `"Current": "n1", "HedgePercent": -1, "RetryPercent": 101,`, "14:34: Services[0].HedgePercent: -1 is less than 0\n" +
			"14:54: Services[0].RetryPercent: 101 is more than 100"},
		{"straggler wait above deadline", `"Current": "n1",`, `"Current": "n1", "DeadlineMillis": 10, "StragglerMillis": 11,`, `14:59: Services[0].StragglerMillis: 11 is more than 10`},
		{"wait for", `"Current": "n1",`, `"Current": "n1", "WaitFor": "tail",`, `14:29: Services[0].WaitFor: tail is none of Coverage, Tail`},
		{"region without failure domain", `"Current": "n1",`, `"Current": "n1", "Region": "west",`, `14:28: Services[0].Region: no failure domain is in region west`},
		{"unknown current snapshot", `"Current": "n1"`, `"Current": "n2"`, `14:12: Services[0].Current: no snapshot is called n2`},
		{"duplicate shard", `"Name": "y"`, `"Name": "x"`, `18:10: Services[0].Snapshots[0].Shards[1].Name: duplicate of Services[0].Snapshots[0].Shards[0].Name, x`},
		{"shard without upstream", `["u2"]`, `[]`, `18:28: Services[0].Snapshots[0].Shards[1].Upstreams: empty list`},
		{"duplicate upstream in shard", `["u1", "u2"]`, `["u1", "u1"]`, `17:35: Services[0].Snapshots[0].Shards[0].Upstreams[1]: duplicate of Services[0].Snapshots[0].Shards[0].Upstreams[0], u1`},
		{"unknown upstream", `["u2"]`, `["u3"]`, `18:29: Services[0].Snapshots[0].Shards[1].Upstreams[0]: unknown upstream u3`},
		{"service without failure domain", "[\"u1\", \"u2\"]},\n{\"Name\": \"y\", \"Upstreams\": [\"u2\"]", `["u3"]`, "13:1: Services[0]: the service has no upstream in a known failure domain\n" +
			"17:29: Services[0].Snapshots[0].Shards[0].Upstreams[0]: unknown upstream u3"},
		{
			"upstream in two services", "},\n],\n}\n", "},\n{\"Name\": \"t\", \"Current\": \"n\", \"Snapshots\": [{\"Name\": \"n\", \"Shards\": [{\"Name\": \"x\", \"Upstreams\": [\"u1\"]}]}]}],\n}\n",
			`21:98: Services[1].Snapshots[0].Shards[0].Upstreams[0]: upstream u1 already serves Services[0]; an upstream serves one service`,
		},
		{"unprintable name", `"Name": "y"`, `"Name": "y\u0000"`, `18:10: Services[0].Snapshots[0].Shards[1].Name: contains a space or a character that does not print`},
		{"invalid UTF-8", `"Name": "y"`, "\"Name\": \"\xff\"", `18:10: Services[0].Snapshots[0].Shards[1].Name: not valid UTF-8`},
		{"empty document", validDocument, ``, `1:1: Document: parsing value: unexpected EOF`},
		{"not an object", validDocument, `[]`, `1:1: Document: want an object, have a list`},
	}
	move := func(fields string) string {
		return `"Seats": 2, "Moves": [{"Name": "m", "Service": "s", "From": "1", ` + fields + `}],`
	}
	for _, m := range []struct{ name, fields, want string }{
		{"move back in time", `"To": "2", "StartAt": 9, "FinishBy": 9`, `3:103: Moves[0].FinishBy: 9 is less than 10`},
		{"move to the same version", `"To": "1", "StartAt": 1, "FinishBy": 9, "State": "Done"`, `3:72: Moves[0].To: same as From`},
		{"canary percentage too high", `"To": "2", "StartAt": 1, "FinishBy": 9, "CanaryPercent": 6`, `3:123: Moves[0].CanaryPercent: 6 is more than 5`},
		{"unknown move state", `"To": "2", "StartAt": 1, "FinishBy": 9, "State": "done"`, `3:115: Moves[0].State: done is none of Done, TakenBack`},
		{"move to an unknown version", `"To": "3", "StartAt": 1, "FinishBy": 9`, `3:72: Moves[0].To: no upstream of the service has version 3`},
		{"move without target version", `"StartAt": 1, "FinishBy": 9`, `3:23: Moves[0].To: missing required field`},
	} {
		tests = append(tests, struct{ name, old, new, want string }{m.name, `"Seats": 2,`, move(m.fields), m.want})
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Contains(t, validDocument, test.old)
			text := strings.Replace(validDocument, test.old, test.new, 1)
			doc, faults := decoder.DecodeDocument("", []byte(text))
			require.Nil(t, doc)
			require.Equal(t, test.want, faults.String())
		})
	}
}

// TestDecodeDocumentReportsEveryFault guards against decoding that stops at the first fault.
func TestDecodeDocumentReportsEveryFault(t *testing.T) {
	text := `{"Environment": "x", "Seats": -1, "Extra": 1, "Domains": [{}], "Upstreams": [{"Name": 1}, 2],
"Services": [{"Name": "", "Current": "c", "Snapshots": [{"Name": "n", "Shards": []},
{"Name": "m", "Shards": [{"Name": "x", "Upstreams": ["u"]}]}], "Limit": 0}]}`
	_, faults := decoder.DecodeDocument("d.json", []byte(text))
	want := []string{
		`d.json:1:17: Environment: x is none of trial, production`,
		`d.json:1:31: Seats: -1 is less than 1`,
		`d.json:1:35: Extra: unknown field`,
		`d.json:1:59: Domains[0].Name: missing required field`,
		`d.json:1:59: Domains[0].Region: missing required field`,
		`d.json:1:78: Upstreams[0].Address: missing required field`,
		`d.json:1:78: Upstreams[0].Connections: missing required field`,
		`d.json:1:78: Upstreams[0].Domain: missing required field`,
		`d.json:1:78: Upstreams[0].Slots: missing required field`,
		`d.json:1:87: Upstreams[0].Name: want a string, have a number 1`,
		`d.json:1:91: Upstreams[1]: want an object, have a number 2`,
		`d.json:2:14: Services[0]: the service has no upstream in a known failure domain`,
		`d.json:2:23: Services[0].Name: empty`,
		`d.json:2:38: Services[0].Current: no snapshot is called c`,
		`d.json:2:81: Services[0].Snapshots[0].Shards: empty list`,
		`d.json:3:54: Services[0].Snapshots[1].Shards[0].Upstreams[0]: unknown upstream u`,
		`d.json:3:73: Services[0].Limit: 0 is less than 1`,
	}
	require.Equal(t, strings.Join(want, "\n"), faults.String())
}

// TestDecodeDocumentIgnoresBracketsInStringsAndComments guards against
// brackets in strings and comments that are counted as nesting.
func TestDecodeDocumentIgnoresBracketsInStringsAndComments(t *testing.T) {
	brackets := strings.Repeat("[", 2*decoder.MaxNesting)
	text := strings.Replace(validDocument, "// comment", "/* "+brackets+" */ // "+brackets, 1)
	text = strings.ReplaceAll(text, `"x"`, `"\"`+brackets+`"`)
	doc, faults := decoder.DecodeDocument("", []byte(text))
	require.Empty(t, faults.String())
	require.Equal(t, `"`+brackets, doc.Services[0].Snapshots[0].Shards[0].Name)
}

// TestDecodeDocumentAllocatesLinearly guards against decoding work that grows faster than the input.
// A faulty document from an operator or a damaged value in the store could then stall a daemon.
// The test counts allocations, because their number does not depend on the machine.
func TestDecodeDocumentAllocatesLinearly(t *testing.T) {
	texts := map[string]func(n int) string{
		"valid":          documentWithUpstreams,
		"unknown fields": func(n int) string { return "{" + strings.Repeat(`"aaaaaaaa":1,`, n) + "}" },
		"wrong elements": func(n int) string { return `{"Domains":[` + strings.Repeat("1,", n) + "]}" },
		"duplicate keys": func(n int) string { return "{" + strings.Repeat(`"Seats":1,`, n) + "}" },
		"empty objects":  func(n int) string { return `{"Services":[` + strings.Repeat("{},", n) + "]}" },
		"open brackets":  func(n int) string { return strings.Repeat("[", n) },
		"comments":       func(n int) string { return strings.Repeat("/**///\n", n) },
	}
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			smallAllocs := countAllocations(text(1000))
			largeAllocs := countAllocations(text(8000))
			require.Less(t, largeAllocs, 9*smallAllocs+100)
		})
	}
}

// countAllocations counts the allocations of decoding text.
func countAllocations(text string) float64 {
	return testing.AllocsPerRun(1, func() { decoder.DecodeDocument("", []byte(text)) })
}

// documentWithUpstreams returns a valid document with n upstreams.
func documentWithUpstreams(n int) string {
	var b strings.Builder
	b.WriteString(`{"Environment":"trial","Seats":1,"Domains":[{"Name":"a","Region":"r"}],"Services":[],"Upstreams":[`)
	for i := range n {
		fmt.Fprintf(&b, `{"Name":"%d","Address":"10.0.%d.%d:80","Domain":"a","Slots":2,"Connections":25},`, i, i/256, i%256)
	}
	b.WriteString("]}")
	return b.String()
}

// TestDecodeDocumentRejectsOversizedText guards against accepting a document that the store cannot hold.
func TestDecodeDocumentRejectsOversizedText(t *testing.T) {
	pad := func(size int) []byte { return []byte(validDocument + strings.Repeat(" ", size-len(validDocument))) }
	_, faults := decoder.DecodeDocument("", pad(decoder.MaxTextBytes))
	require.Empty(t, faults)
	_, faults = decoder.DecodeDocument("", pad(decoder.MaxTextBytes+1))
	require.Equal(t, "1:1: Document: the text has 1000001 bytes, more than 1000000", faults.String())
}
