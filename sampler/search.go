package sampler

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"unicode"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Request is the JSON body of a search, such as {"Terms": ["sesame"], "Exclude": ["bridging pay"]}.
// A term is one word or several consecutive words. Case and punctuation are ignored.
type Request struct {
	// Terms are the terms to search for; at least one is required.
	Terms []string
	// Exclude are the terms that a result must not contain.
	Exclude []string `json:",omitempty"`
}

// Result is the JSON body of an item. It names the snapshot and the shard, so that an answer with items of different
// snapshots can be detected.
type Result struct {
	Snapshot string
	Shard    string
	Text     string
	Fields   map[string][]string
}

// Search returns the items of one shard that match body, a Request in JSON, sorted by descending score and then by key.
// If shard is empty, Search covers all shards of the snapshot, which gives the expected complete answer of a query.
// limit is the maximum number of items; 0 means no limit.
//
// The score is the number of different terms that match, plus a tie-breaker below 0.5 that is derived from the key.
// A record matches if at least one of Terms matches and none of Exclude does.
//
// The error is a *tiller.Failure with verdict NotRun and reason BadRequest, UnknownService, NoSnapshot or NoShard.
func Search(records []Record, service, snapshot, shard string, body []byte, limit int) ([]tiller.Item, error) {
	request, err := parseRequest(body)
	if err != nil {
		return nil, tiller.NewFailure(tiller.NotRun, tiller.ReasonBadRequest, err)
	}
	candidates, reason := selectRecords(records, service, snapshot, shard)
	if reason != "" {
		return nil, tiller.NewFailure(tiller.NotRun, reason, nil)
	}
	items := matchingItems(candidates, request)
	slices.SortFunc(items, func(a, b tiller.Item) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Key, b.Key))
	})
	if limit > 0 && len(items) > limit {
		items = items[:limit]
	}
	return items, nil
}

// parseRequest decodes body and normalises its terms.
func parseRequest(body []byte) (Request, error) {
	var request Request
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&request); err != nil {
		return Request{}, errors.Wrap(err, "decode the body of a search")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return Request{}, errors.New("data after the body of a search")
	}
	request.Terms = normaliseTerms(request.Terms)
	request.Exclude = normaliseTerms(request.Exclude)
	if len(request.Terms) == 0 {
		return Request{}, errors.New("a search needs at least one term")
	}
	return request, nil
}

// normaliseTerms returns the terms in the format of words, without duplicates and empty terms.
func normaliseTerms(terms []string) []string {
	var out []string
	for _, term := range terms {
		if w := words(term); w != " " && !slices.Contains(out, w) {
			out = append(out, w)
		}
	}
	return out
}

// words returns the lower-case words of text, with one space before the first word and one after each word.
func words(text string) string {
	var b strings.Builder
	b.WriteByte(' ')
	for word := range strings.FieldsFuncSeq(strings.ToLower(text), isSeparator) {
		b.WriteString(word)
		b.WriteByte(' ')
	}
	return b.String()
}

// isSeparator reports whether c separates words.
func isSeparator(c rune) bool {
	return !unicode.IsLetter(c) && !unicode.IsNumber(c)
}

// selectRecords returns the records of a shard, or of all shards if shard is empty.
// If there are none, it returns the reason of the failure.
func selectRecords(records []Record, service, snapshot, shard string) ([]Record, tiller.Reason) {
	records = filter(records, func(r Record) bool { return r.Service == service })
	if len(records) == 0 {
		return nil, tiller.ReasonUnknownService
	}
	records = filter(records, func(r Record) bool { return r.Snapshot == snapshot })
	if len(records) == 0 {
		return nil, tiller.ReasonNoSnapshot
	}
	records = filter(records, func(r Record) bool { return shard == "" || r.Shard == shard })
	if len(records) == 0 {
		return nil, tiller.ReasonNoShard
	}
	return records, ""
}

// filter returns the records for which wanted returns true.
func filter(records []Record, wanted func(Record) bool) []Record {
	var out []Record
	for _, r := range records {
		if wanted(r) {
			out = append(out, r)
		}
	}
	return out
}

// matchingItems returns the records that match request as items.
func matchingItems(records []Record, request Request) []tiller.Item {
	var items []tiller.Item
	for _, r := range records {
		if score := r.score(request); score > 0 {
			items = append(items, tiller.Item{Key: r.Key, Score: score, Body: r.body()})
		}
	}
	return items
}

// score returns the score of r, or 0 if r does not match.
func (r Record) score(request Request) float64 {
	text := r.words()
	matches := 0
	for _, term := range request.Terms {
		if strings.Contains(text, term) {
			matches++
		}
	}
	for _, term := range request.Exclude {
		if strings.Contains(text, term) {
			return 0
		}
	}
	if matches == 0 {
		return 0
	}
	return float64(matches) + tieBreaker(r.Key)
}

// words returns the words of the text and of all field values. Two spaces separate the text and the values,
// so that no term matches across them.
func (r Record) words() string {
	var b strings.Builder
	b.WriteString(words(r.Text))
	for _, values := range r.Fields {
		for _, value := range values {
			b.WriteString(words(value))
		}
	}
	return b.String()
}

// body returns the JSON body of the item for r, a Result.
func (r Record) body() []byte {
	b, err := json.Marshal(Result{Snapshot: r.Snapshot, Shard: r.Shard, Text: r.Text, Fields: r.Fields})
	if err != nil {
		// Strings and lists of strings always encode.
		panic(err)
	}
	return b
}

// tieBreaker returns a number from 0 up to, but not including, 0.5. It is derived from a hash of key,
// so that different keys get different numbers.
func tieBreaker(key string) float64 {
	const mantissaBits = 53
	return float64(xxhash.Sum64String(key)>>(64-mantissaBits)) / (1 << (mantissaBits + 1))
}
