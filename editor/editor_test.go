package editor

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tailscale/hujson"
	"pgregory.net/rapid"
)

// TestCommentsPreserved guards against a change that loses a comment or another byte, for any layout,
// trailing commas and comments around the changed place.
func TestCommentsPreserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		space := func() string {
			return rapid.SampledFrom([]string{"", " ", "\n\t", "// } ] , \"\n", "/* ] } */"}).Draw(t, "space")
		}
		comma := rapid.SampledFrom([]string{"", ","}).Draw(t, "trailing")
		var b strings.Builder
		b.WriteString(space() + "{" + space() + `"Domains"` + space() + ":" + space() + "[")
		n := rapid.IntRange(0, 3).Draw(t, "elements")
		for i := range n {
			if i > 0 {
				b.WriteString("," + space())
			}
			b.WriteString(space() + `{"Region":"r",` + space() + `"Name"` + space() + `:"` + string(rune('a'+i)) + `"` + space())
			if rapid.Bool().Draw(t, "given") {
				b.WriteString("," + space() + `"Out":` + space() + "false" + space())
			}
			b.WriteString(comma + space() + "}" + space())
		}
		if n > 0 {
			b.WriteString(comma)
		}
		b.WriteString(space() + "]" + space() + comma + space() + "}" + space())
		before := b.String()
		name := string(rune('a' + rapid.IntRange(0, 3).Draw(t, "name")))

		after, err := SetField([]byte(before), "Domains", name, "Out", true)
		if name >= string(rune('a'+n)) {
			require.ErrorIs(t, err, ErrNoElement)
		} else {
			require.NoError(t, err)
			requireOnlyChange(t, before, after, func(doc map[string]any) { domainAt(doc, int(name[0]-'a'))["Out"] = true })
		}
		for _, list := range []string{"Domains", "Moves"} {
			after, err := Append([]byte(before), list, map[string]any{"Name": "z"})
			require.NoError(t, err)
			requireOnlyChange(t, before, after, func(doc map[string]any) {
				old, _ := doc[list].([]any)
				doc[list] = append(old, map[string]any{"Name": "z"})
			})
		}
	})
}

func domainAt(doc map[string]any, i int) map[string]any {
	return doc["Domains"].([]any)[i].(map[string]any)
}

// requireOnlyChange requires that after decodes to before with the change applied, and that it has the same comments.
func requireOnlyChange(t require.TestingT, before string, after []byte, change func(map[string]any)) {
	want := decode(t, []byte(before))
	change(want)
	require.Equal(t, want, decode(t, after), "%s\n%s", before, after)
	for _, comment := range []string{"// } ] , \"\n", "/* ] } */"} {
		require.Equal(t, strings.Count(before, comment), strings.Count(string(after), comment), "%s\n%s", before, after)
	}
}

func decode(t require.TestingT, text []byte) map[string]any {
	plain, err := hujson.Standardize(append([]byte(nil), text...))
	require.NoError(t, err, "%s", text)
	var doc map[string]any
	require.NoError(t, json.Unmarshal(plain, &doc))
	return doc
}

func TestInvalidDocuments(t *testing.T) {
	for _, text := range []string{``, `[]`, `{`, `{"Domains": 1}`, `{"Domains": [1, {"Name": 2}]}`} {
		_, err := SetField([]byte(text), "Domains", "a", "Out", true)
		require.Error(t, err, text)
	}
	for _, text := range []string{``, `[]`, `{`, `{}`, `{"Moves": 1}`} {
		_, err := Append([]byte(text), "Moves", 1)
		require.Error(t, err, text)
	}
}
